"""Test that generations never decrease with lost, repeated, reordered messages."""

from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cicadadoor.agent.sync import START_SETTLE_S, ConfigSync
from cicadadoor.config import chunks, splices
from cicadadoor.config.acceptance import SectionChange
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of
from cicadadoor.links.config_messages import ConfigDelta, PullConfig
from cicadadoor.links.config_parts import Generation
from tests.utils.manual_timer import ManualTimer

NODES = 3
node_numbers = st.integers(0, NODES - 1)
names = st.sampled_from(('services', 'weights', 'blocks/0000', 'blocks/0001'))


def run_to_completion(work):
    """Run a coroutine that completes without waiting."""
    try:
        work.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError('the coroutine waited')


class LossyPeers:
    """Call the nodes directly, and drop the messages chosen by the test."""

    def __init__(self, machine: 'SyncMachine') -> None:
        self._machine = machine

    def on(self, *arguments) -> None:
        """Do nothing: `ask` calls the handlers directly."""

    async def ask(self, address: str, message, timeout_s: float):
        """Return the answer, or a failure if the exchange is lost."""
        target = self._machine.nodes[int(address)]
        if self._machine.losses and self._machine.losses.pop():
            return Failure(ErrorKind.OUTCOME_UNKNOWN, 'lost')
        if isinstance(message, PullConfig):
            return await target._answer_pull(message)
        return await target._answer_sections(message)


class SyncMachine(RuleBasedStateMachine):
    """Let three hosts exchange generations in arbitrary order."""

    def __init__(self) -> None:
        super().__init__()
        self.timer = ManualTimer()
        self.losses: list[bool] = []
        contents = {'services': b'[1]', 'weights': b'{}', 'blocks/0000': b'[]'}
        self.accepted = [Generation(1, chunks.digests(contents), contents)]
        self.deltas: list[ConfigDelta] = []
        self.nodes: list[ConfigSync] = []
        self.last_numbers = [0 for _ in range(NODES)]
        for _ in range(NODES):
            self.nodes.append(self.new_node())

    def new_node(self) -> ConfigSync:
        """Return a host that has just started."""
        node = ConfigSync()
        services = {
            'timer': self.timer,
            'peers': LossyPeers(self),
            'withdrawals': SimpleNamespace(is_seeded=True, seed_from=_seed_nothing),
        }
        run_to_completion(node.start(SimpleNamespace(find=services.__getitem__)))
        return node

    @rule(name=names, text=st.binary(max_size=8), removes=st.booleans())
    def accept(self, name, text, removes):
        """Accept a change of one section in the platform."""
        last = self.accepted[-1]
        number = last.number + 1
        contents = dict(last.contents)
        before = contents.get(name, b'')
        removed = ()
        changes = {}
        if removes and name.startswith('blocks/') and name in contents:
            contents.pop(name)
            removed = (name,)
        else:
            contents[name] = before[:2] + text
            splice = splices.make(before, contents[name])
            changes[name] = SectionChange(digest_of(contents[name]), splice)
        following = Generation(number, chunks.digests(contents), contents)
        self.accepted.append(following)
        self.deltas.append(
            ConfigDelta(
                generation=number,
                digest=following.digest,
                changes=changes,
                removed=removed,
            )
        )

    @rule(node=node_numbers, position=st.integers(0, 30))
    def push(self, node, position):
        """Deliver any delta: the next one, or one that is late or too early."""
        if self.deltas:
            run_to_completion(
                self.nodes[node].apply(self.deltas[position % len(self.deltas)])
            )

    @rule(node=node_numbers, position=st.integers(0, 30))
    def push_spoiled(self, node, position):
        """Deliver a delta whose digest does not match its result."""
        if self.deltas:
            delta = self.deltas[position % len(self.deltas)]
            spoiled = ConfigDelta(
                generation=delta.generation,
                digest='0' * 64,
                changes=delta.changes,
            )
            run_to_completion(self.nodes[node].apply(spoiled))

    @rule(node=node_numbers, position=st.integers(0, 30))
    def read_platform(self, node, position):
        """Deliver a complete generation, possibly an old one."""
        read = self.accepted[position % len(self.accepted)]
        run_to_completion(self.nodes[node].adopt(read))

    @rule(
        node=node_numbers,
        peer=node_numbers,
        losses=st.lists(st.booleans(), max_size=4),
    )
    def pull(self, node, peer, losses):
        """Learn a peer's generation and pull it, with losses on the way."""
        self.losses = list(losses)
        self.nodes[node].note_peer_generation(str(peer), self.nodes[peer].number)
        run_to_completion(self.timer.advance(0.5))
        self.losses = []

    @rule(node=node_numbers)
    def restart(self, node):
        """Restart a host with empty state."""
        self.nodes[node] = self.new_node()
        self.last_numbers[node] = 0

    @invariant()
    def holds_only_what_was_accepted(self):
        """A host holds a complete accepted generation, and never a lower one."""
        for position, node in enumerate(self.nodes):
            assert node.number >= self.last_numbers[position]
            self.last_numbers[position] = node.number
            if node.generation is not None:
                accepted = self.accepted[node.number - 1]
                assert node.generation.digest == accepted.digest
                assert dict(node.generation.contents) == dict(accepted.contents)

    def teardown(self):
        """End the losses; all hosts must reach the highest generation held."""
        run_to_completion(self.timer.advance(START_SETTLE_S))
        highest = max(node.number for node in self.nodes)
        for node in self.nodes:
            for position, peer in enumerate(self.nodes):
                node.note_peer_generation(str(position), peer.number)
        for _ in range(NODES):
            run_to_completion(self.timer.advance(0.5))
        assert {node.number for node in self.nodes} == {highest}


async def _seed_nothing(address: str) -> None:
    """Stand in for a pull of withdrawals that finds none."""


SyncMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestSync = SyncMachine.TestCase
