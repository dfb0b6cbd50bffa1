"""The parts of a leader that read and write the records of jobs."""

from dataclasses import dataclass

from dappledrum.dependencies.graph import DependencyGraph
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.leader.job_loader import JobLoader


@dataclass(frozen=True)
class JobRecords:
    """Reader, writer, and the dependencies that follow from the records."""

    loader: JobLoader
    writer: RecordWriter
    graph: DependencyGraph
