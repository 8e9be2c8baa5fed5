"""What operators' policies make of a job."""

from marigoldlift.configuration.objects import Policy
from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.jobs.state import Job

__all__ = ('JobPolicies',)


class JobPolicies:
    """Specification of a job and the policies that match its labels, combined."""

    def __init__(self, configuration: ConfigurationState) -> None:
        """Keep the configuration in force."""
        self.configuration = configuration

    def matching(self, job: Job) -> list[Policy]:
        """Return the policies for a job."""
        return self.configuration.policies_for(job.spec.labels)

    def priority(self, job: Job) -> int:
        """Return the priority of a job, raised by policies."""
        return max(job.spec.priority, *(policy.priority for policy in self.matching(job)), 0)

    def urgency(self, job: Job) -> tuple[int, float, int]:
        """Return the sort key of a job: priority, order date, age."""
        finish_by_ms = job.spec.finish_by_ms or float('inf')
        return -self.priority(job), finish_by_ms, job.accepted_ms

    def selector(self, job: Job) -> dict[str, str]:
        """Return the labels that a worker must have; policies go before the specification."""
        selector = dict(job.spec.selector)
        for policy in self.matching(job):
            selector |= policy.vm_selector
        return selector

    def spread(self, job: Job) -> int:
        """Return the most tasks of a job in one rack, the lowest limit; 0 for none."""
        spreads = [job.spec.spread, *(policy.spread for policy in self.matching(job))]
        return min(filter(None, spreads), default=0)
