"""Store keys of the records of jobs."""

JOB_PREFIX = "job/"
PAGE_PREFIX = "page/"
ROWS_PREFIX = "rows/"
SPEC_PREFIX = "spec/"
ENDED_PREFIX = "ended/"


def head_key(job: str) -> str:
    """Key of a live job: its specification and the progress of its first page."""
    return f"{JOB_PREFIX}{job}"


def page_key(job: str, index: int) -> str:
    """Key of a page other than the first of a live job."""
    return f"{PAGE_PREFIX}{job}/{index}"


def rows_key(job: str, index: int, part: int) -> str:
    """Key of rows that do not fit into the value of the page with this index."""
    return f"{ROWS_PREFIX}{job}/{index}/{part}"


def spec_key(job: str, part: int) -> str:
    """Key of a part of a long specification."""
    return f"{SPEC_PREFIX}{job}/{part}"


def ended_key(job: str) -> str:
    """Key of a job that is finished."""
    return f"{ENDED_PREFIX}{job}"


def job_of_key(key: str) -> str:
    """ID of the job that a key of this module belongs to."""
    return key.split("/")[1]
