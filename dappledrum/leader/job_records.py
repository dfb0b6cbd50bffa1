"""Groups the parts of a leader that read and write the records of jobs."""

from dataclasses import dataclass

from dappledrum.dependencies.graph import DependencyGraph
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.leader.job_loader import JobLoader


@dataclass(frozen=True)
class JobRecords:
    """Loader and writer of job records, and the graph of dependencies between the jobs."""

    loader: JobLoader
    writer: RecordWriter
    graph: DependencyGraph
