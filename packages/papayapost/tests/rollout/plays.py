"""Plays of a roll-out in virtual time."""

from random import Random

from papayapost_testing.rollout_mesh import LIMITS, RolloutMesh, ServerAnswer
from papayapost_testing.traffic_worlds import FOUR_PLACES

SECOND_US = 1_000_000
DURATION_S = 30
RULES = """\
route GET /gusts* -> gusts idempotent=yes link=yes timeout_ms=4000 target_ms=800 \
retries=2 # Mei: launches
route GET /scans* -> gusts link=yes timeout_ms=4000 target_ms=800 retries=2 \
# Rosa: boards
"""
PATHS = {"/gusts": 0.7, "/scans": 0.3}


def behaviour(
    bad_version=None, is_slow=False, from_us=0, min_busy=0, path="", mean_us=100_000
):
    """Return servers of which those of one version answer half badly."""

    def answer(node, called, busy, now_us, random):
        found = ServerAnswer(int(mean_us * random.lognormvariate(0, 0.3)))
        is_met = node.version == bad_version and now_us >= from_us
        is_met = is_met and busy >= min_busy and called.startswith(path)
        if is_met and random.random() < 0.5:
            found.is_bad = True
            if is_slow:
                found.service_us *= 8
            else:
                found.status = 500
        return found

    return answer


class Play:
    """A mesh of which half of the servers have the version of an order."""

    def __init__(
        self, seed=1, servers=None, count=8, rate_per_s=160, duration_s=DURATION_S
    ):
        self.random = Random(seed)
        self.duration_s = duration_s
        self.mesh = RolloutMesh(seed, RULES, servers or behaviour())
        self.old = [self.start(f"old{i}", i, "v1") for i in range(count)]
        self.mesh.run(4 * SECOND_US)
        until_us = self.mesh.now_us + (duration_s + 20) * SECOND_US
        self.mesh.load(rate_per_s, until_us, PATHS)
        self.mesh.run(6 * SECOND_US)
        self.new = [self.start(f"new{i}", i, "v2") for i in range(count)]
        self.mesh.run(SECOND_US)
        self.ordered_us = self.mesh.now_us

    def start(self, name, place, version):
        node = self.mesh.start(name, FOUR_PLACES[place % 4], version)
        node.speed = self.random.uniform(0.6, 1.6)
        return node

    def order(self, version="v2"):
        self.ordered_us = self.mesh.now_us
        self.mesh.order(version, self.duration_s * SECOND_US)
        return self

    def run(self, seconds):
        self.mesh.run(int(seconds * SECOND_US))
        return self

    def run_to_end(self):
        """Run until 8 s after the deadline."""
        end_us = self.ordered_us + (self.duration_s + 8) * SECOND_US
        self.mesh.run(end_us - self.mesh.now_us)
        return self

    def runs(self, version="v2"):
        return [run for run in self.mesh.runs if run.version == version]

    @property
    def states(self):
        """Final states in the store, in order."""
        return [state.value for _, state in self.mesh.finals]

    def check_bounds(self, version="v2", is_in_time=True):
        """Check what a bad version may get, also if it is good.

        A final status must be written before the deadline unless the store
        could not be reached then.
        """
        end_us = self.ordered_us + self.duration_s * SECOND_US
        runs = [r for r in self.mesh.runs if self.ordered_us <= r.at_us <= end_us]
        exposed = sum(run.version == version for run in runs)
        allowed = LIMITS.exposure_share * len(runs) + LIMITS.exposure_slack
        assert exposed <= allowed, f"{exposed} of {len(runs)} requests"
        bad = [run for run in self.runs(version) if run.answer.is_bad]
        if len(bad) >= 50:
            last_us = max(run.at_us for run in self.runs(version))
            assert last_us - bad[49].at_us <= LIMITS.rollback_us
        assert not [r for r in self.runs(version) if r.at_us < self.ordered_us]
        for at_us, _ in self.mesh.finals:
            assert at_us <= end_us or not is_in_time

    def check_final(self, state, version="v2"):
        """Check the status, and that only the version that it allows runs."""
        assert self.states == [state]
        final_us = self.mesh.finals[0][0]
        is_completed = state == "completed"
        late = [
            run
            for run in self.mesh.runs
            if run.at_us > final_us + 50_000
            and (run.version == version) != is_completed
        ]
        assert not late
