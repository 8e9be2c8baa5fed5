"""Creation and connection of the objects that handle jobs."""

from collections.abc import Mapping

from marigoldlift.ids import JobId
from marigoldlift.jobs.capacity import CapacityFinder
from marigoldlift.jobs.home import HomeCalls
from marigoldlift.jobs.keeper import JobKeeper
from marigoldlift.jobs.queries import JobQueries
from marigoldlift.jobs.submission import JobSubmission
from marigoldlift.journal.messages import JobSpec
from marigoldlift.wiring.identity import Common
from marigoldlift.wiring.membership import MembershipPart
from marigoldlift.wiring.streams import StreamsPart
from marigoldlift.wiring.workers import WorkersPart

__all__ = ('JobsPart',)


class JobsPart:
    """Submission, placement and queries of jobs."""

    def __init__(
        self,
        common: Common,
        membership: MembershipPart,
        streams: StreamsPart,
        workers: WorkersPart,
    ) -> None:
        """Create the objects and connect them with those of the other parts."""
        self.domain = streams.domain
        self.catalog = workers.ledger.catalog
        self.keeper = JobKeeper(
            streams.domain,
            streams.domain_replica,
            streams.configuration,
            CapacityFinder(
                common.failure_domain,
                workers.ledger,
                workers.reservations,
                membership.members,
                membership.clients,
            ),
            membership.is_preferred,
            common.metrics,
        )
        home_calls = HomeCalls(
            membership.members,
            membership.clients,
            common.tracing,
            common.settings.limits.max_forwards,
        )
        self.submission = JobSubmission(
            common.settings.failure_domains,
            streams.configuration,
            streams.domain,
            streams.domain_replica,
            home_calls,
            self.infeasibility,
            streams.is_configured,
        )
        self.queries = JobQueries(
            streams.domain,
            streams.domain_replica,
            home_calls,
            self.why_waiting,
        )

    def infeasibility(self, spec: JobSpec, selector: Mapping[str, str]) -> str:
        """Return why no known worker could run a task even if it were empty, or an empty string."""
        return self.catalog.infeasible_reason(spec.resources, selector)

    def why_waiting(self, job_id: JobId) -> str:
        """Return why the tasks of a job are pending, or an empty string if none is."""
        job = self.domain.jobs.job(job_id)
        if job is None or not self.domain.jobs.pending_tasks(job_id):
            return ''
        obstacle = self.infeasibility(job.spec, self.keeper.policies.selector(job))
        if obstacle:
            return obstacle
        waiting = self.keeper.waiting.get(job_id)
        return waiting.reason if waiting else 'waits for its keeper'
