"""Test submissions under races and under faults at each write."""

import anyio
import msgspec
import pytest

from cicadadoor.config import acceptance, canonical, chunks, merge, model, splices
from cicadadoor.config.submission import (
    Submission,
    SubmissionResult,
    read_accepted_root,
    read_keys,
)
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.object_store.base import StoredObject
from tests.utils.deployments import small_deployment
from tests.utils.faulty_store import CrashError, Fault, FaultyStore

DOMAINS = {'muenchen-1': ('muenchen', 1), 'augsburg-1': ('augsburg', 1)}
KEY = model.KeyRecord(key_hash='a' * 64, organisation='guild-a')


def printed(**changes: object) -> dict[str, bytes]:
    """Return the sections of a printed configuration."""
    built = small_deployment(DOMAINS).build()
    return chunks.split(msgspec.structs.replace(built, **changes))


def more_organisations() -> dict[str, bytes]:
    """Return printed sections with one more organisation."""
    limits = small_deployment(DOMAINS).build().limits
    extra = model.Organisation(name='guild-c', rate_per_s=1, burst=1)
    organisations = (*limits.organisations, extra)
    return printed(limits=msgspec.structs.replace(limits, organisations=organisations))


def fewer_services() -> dict[str, bytes]:
    """Return printed sections with one service less."""
    built = small_deployment(DOMAINS).build()
    weights = msgspec.structs.replace(
        built.weights,
        rules=tuple(
            rule for rule in built.weights.rules if rule.service == 'kursbuchung'
        ),
    )
    return printed(services=built.services[:1], weights=weights)


def changed_weights(share: float) -> model.Weights:
    """Return weights whose only rule gives `share` to the other region."""
    weights = small_deployment(DOMAINS).build().weights
    rule = model.SteeringRule(
        service='kursbuchung',
        home_region='muenchen',
        weights=(
            model.RegionWeight(region='muenchen', weight=1 - share),
            model.RegionWeight(region='augsburg', weight=share),
        ),
    )
    return msgspec.structs.replace(weights, rules=(rule,))


async def accept(store, sections, base, author='ada') -> SubmissionResult | Failure:
    """Submit printed sections against the base generation."""
    return await Submission(store, author, 1000.0).submit(sections, base)


async def apply_shift_step(store, share: float, step: int) -> None:
    """Change only the weights, as a shift step does."""
    present = await read_accepted_root(store)
    weights = msgspec.structs.replace(
        changed_weights(share),
        shift_steps={'shift-1': step},
    )
    submitter = Submission(store, 'planner', 1000.0)._submitter
    sections = {'weights': chunks.encode(weights)}
    done = await submitter.submit_changes(present, sections, 'planner', 1000.0)
    assert not isinstance(done, Failure)


async def read_all(store) -> tuple[int, dict[str, bytes]]:
    """Return the accepted generation with the content of each section."""
    present = await acceptance.read_root(store)
    assert not isinstance(present, Failure), present
    assert present.digest == chunks.digest_sections(present.root.section_digests)
    found = await acceptance.read_sections(store, present.root.section_digests)
    assert not isinstance(found, Failure), found
    return present.root.generation, found


class TestMerge:
    """A submission must not undo the change of another operator."""

    def test_disjoint_changes_rebase(self):
        """Changes of two operators to different sections are both kept."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(), 0)
            await accept(store, more_organisations(), 1)
            outcome = await accept(store, fewer_services(), 1, 'bob')
            assert isinstance(outcome, SubmissionResult)
            _, found = await read_all(store)
            assert found['organisations'] == more_organisations()['organisations']
            assert found['services'] == fewer_services()['services']

        anyio.run(run)

    def test_same_section_is_a_conflict_that_names_the_author(self):
        """A second change of a section fails and names the author of the first."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(), 0)
            await accept(store, more_organisations(), 1)
            limits = small_deployment(DOMAINS).build().limits
            edited = msgspec.structs.replace(limits, floor_fraction=0.25)
            outcome = await accept(store, printed(limits=edited), 1, 'bob')
            assert outcome.kind is ErrorKind.CONFIG_CONFLICT
            assert "'organisations' was changed by ada in generation 2" in (
                outcome.reason
            )
            assert (await read_all(store))[0] == 2

        anyio.run(run)

    def test_merge_with_inconsistent_result_is_refused(self):
        """Merging valid sections can leave a key without its organisation."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(), 0)
            granted = await Submission(store, 'ada', 1.0).grant(KEY)
            assert isinstance(granted, SubmissionResult)
            limits = small_deployment(DOMAINS).build().limits
            kept = msgspec.structs.replace(
                limits,
                organisations=limits.organisations[1:],
            )
            outcome = await accept(store, printed(limits=kept), 1, 'bob')
            assert outcome.kind is ErrorKind.CONFIG_INVALID

        anyio.run(run)

    def test_submission_keeps_granted_keys_and_running_shift(self):
        """A configuration printed earlier must not revert a shift or a grant."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(weights=changed_weights(0)), 0)
            await Submission(store, 'ada', 1.0).grant(KEY)
            await apply_shift_step(store, 0.1, 1)
            wanted = {
                **more_organisations(),
                'weights': chunks.encode(changed_weights(0)),
            }
            for base in (1, 3):
                outcome = await accept(store, wanted, base)
                assert isinstance(outcome, SubmissionResult)
            _, found = await read_all(store)
            weights = merge.decode_weights(found['weights'])
            assert weights.rules == changed_weights(0.1).rules
            assert weights.shift_steps == {'shift-1': 1}
            assert KEY.key_hash in found['keys'].decode()

        anyio.run(run)

    def test_edit_of_a_shifted_rule_is_a_conflict(self):
        """New weights for a rule must not silently override a shift step."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(weights=changed_weights(0)), 0)
            await apply_shift_step(store, 0.1, 1)
            outcome = await accept(store, printed(weights=changed_weights(0.5)), 2)
            assert outcome.kind is ErrorKind.CONFIG_CONFLICT
            unchanged = await accept(store, printed(weights=changed_weights(0.1)), 2)
            assert isinstance(unchanged, SubmissionResult)

        anyio.run(run)

    @pytest.mark.parametrize('base', (0, 9))
    def test_unknown_base_is_a_conflict(self, base):
        """A submission whose base generation is not stored cannot be merged."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(), 0)
            outcome = await accept(store, more_organisations(), base)
            assert outcome.kind is ErrorKind.CONFIG_CONFLICT

        anyio.run(run)

    def test_withdrawn_key_is_not_granted(self):
        """A withdrawn key cannot be granted again."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(), 0)
            withdrawn = StoredObject(kind='withdrawal', name=KEY.key_hash, body=b'{}')
            await store.create(withdrawn)
            outcome = await Submission(store, 'ada', 1.0).grant(KEY)
            assert outcome.kind is ErrorKind.CONFIG_CONFLICT

        anyio.run(run)


async def run_with_fault(store, operation) -> SubmissionResult | Failure | None:
    """Run an operation; return None if the submitter crashes."""
    try:
        return await operation(store)
    except CrashError:
        return None


async def submit_more(store) -> SubmissionResult | Failure:
    """Add an organisation."""
    return await accept(store, more_organisations(), 1)


async def grant_key(store) -> SubmissionResult | Failure:
    """Grant a key."""
    return await Submission(store, 'ada', 1000.0).grant(KEY)


async def remove_key(store) -> SubmissionResult | Failure:
    """Remove the key that `prepare_store` granted."""
    return await Submission(store, 'ada', 1000.0).remove_key('b' * 64)


async def prepare_store() -> FaultyStore:
    """Return a store with a configuration and a granted key."""
    store = FaultyStore()
    await accept(store, printed(), 0)
    other = model.KeyRecord(key_hash='b' * 64, organisation='guild-b')
    await Submission(store, 'ada', 1000.0).grant(other)
    store.reset()
    return store


OPERATIONS = {
    'submit': (submit_more, 'organisations'),
    'grant': (grant_key, 'keys'),
    'remove_key': (remove_key, 'keys'),
}
# The writes are chunk, index, record of the replaced generation and root. A submit
# also writes the printed weights. That takes two calls: their chunk exists, so create
# fails and update follows.
MAX_WRITES = 7


class TestFaultMatrix:
    """No fault at any write may lose, repeat or split a change."""

    @pytest.mark.parametrize('name', OPERATIONS)
    @pytest.mark.parametrize('fault', Fault)
    @pytest.mark.parametrize('step', range(MAX_WRITES))
    def test_outcome_matches_the_store_and_a_repeat_completes(self, name, fault, step):
        """The reported outcome matches the store, and a repeat completes the change."""
        operation, section = OPERATIONS[name]

        async def run() -> None:
            store = await prepare_store()
            before = await read_all(store)
            reference = await prepare_store()
            await operation(reference)
            wanted = (await read_all(reference))[1]
            store.faults[step] = fault
            outcome = await run_with_fault(store, operation)
            after = await read_all(store)
            if isinstance(outcome, SubmissionResult):
                assert after == (before[0] + 1, wanted)
            elif outcome is not None:
                if outcome.kind is not ErrorKind.STORE_OUTCOME_UNKNOWN:
                    assert after == before
            store.reset()
            await store.release()
            repeated = await operation(store)
            assert isinstance(repeated, SubmissionResult), repeated
            generation, found = await read_all(store)
            assert found[section] == wanted[section]
            # Repeating an accepted change creates no further generation.
            assert generation == before[0] + 1

        anyio.run(run)

    @pytest.mark.parametrize('name', OPERATIONS)
    @pytest.mark.parametrize('step', range(MAX_WRITES))
    def test_race_with_another_section_keeps_both(self, name, step):
        """A submission accepted between two writes must not lose its change."""
        operation, section = OPERATIONS[name]

        async def run() -> None:
            store = await prepare_store()

            async def submit_concurrently() -> None:
                await accept(store, fewer_services(), 1, 'bob')

            store.before_write[step] = submit_concurrently
            outcome = await operation(store)
            if step >= store.writes:
                return
            assert isinstance(outcome, SubmissionResult)
            if step in store.before_write:
                return
            _, found = await read_all(store)
            assert found['services'] == fewer_services()['services']
            reference = await prepare_store()
            await operation(reference)
            wanted = (await read_all(reference))[1]
            assert found[section] == wanted[section]

        anyio.run(run)

    def test_lost_answer_with_a_replaced_root(self):
        """An accepted change is reported as accepted if another one follows at once."""

        async def run() -> None:
            store = await prepare_store()
            submission = Submission(store, 'ada', 1000.0)
            real_get = store.get
            is_armed = True

            async def get(kind: str, name: str):
                nonlocal is_armed
                root = await real_get('config_root', 'root')
                if is_armed and root.writer == submission.name:
                    is_armed = False
                    await accept(store, fewer_services(), 1, 'bob')
                return await real_get(kind, name)

            store.get = get
            store.faults[3] = Fault.ANSWER_LOST
            outcome = await submission.grant(KEY)
            assert isinstance(outcome, SubmissionResult)
            assert outcome.is_new
            assert not is_armed
            keys = await read_keys(store, await read_accepted_root(store))
            assert KEY in keys

        anyio.run(run)

    def test_delayed_write_is_unknown_until_it_is_decided(self):
        """The outcome is unknown while a write may take effect after the read-back."""

        async def run() -> None:
            store = await prepare_store()
            submission = Submission(store, 'ada', 1000.0)
            store.faults[3] = Fault.DELAYED
            outcome = await submission.grant(KEY)
            assert outcome.kind is ErrorKind.STORE_OUTCOME_UNKNOWN
            arguments = (store, submission.name, submission.generation)
            found = await acceptance.find_outcome(*arguments)
            assert found.kind is ErrorKind.STORE_OUTCOME_UNKNOWN
            await store.release()
            assert await acceptance.find_outcome(*arguments) is True
            await accept(store, fewer_services(), 1, 'bob')
            assert await acceptance.find_outcome(*arguments) is True
            other_submission = (store, 'another', submission.generation)
            assert await acceptance.find_outcome(*other_submission) is False

        anyio.run(run)


class TestChunkCleanUp:
    """Expired chunks are deleted, and chunks in use are not."""

    @pytest.mark.parametrize('period_s', (400, 500, 600))
    def test_only_expired_chunks_are_deleted(self, period_s):
        """A section that was replaced and then used again is kept."""

        async def run() -> None:
            store = FaultyStore()
            variants = (printed(), more_organisations())
            await accept(store, variants[0], 0)
            for number in range(1, 40):
                base = (await read_all(store))[0]
                wall_s = 1000.0 + period_s * number
                submission = Submission(store, 'ada', wall_s)
                outcome = await submission.submit(variants[number % 2], base)
                assert isinstance(outcome, SubmissionResult)
                await read_all(store)
            kept = await store.list('config_generation')
            assert len(kept.objects) < 16
            assert len((await store.list('config_chunk')).objects) < 32

        anyio.run(run)

    def test_chunk_that_a_submission_uses_again_is_kept(self):
        """A clean-up in progress must not delete a chunk of a new submission."""

        async def run() -> None:
            store = FaultyStore()
            await accept(store, printed(), 0)
            await accept(store, more_organisations(), 1)
            old_digest = chunks.digests(printed())['organisations']
            before = await store.get('config_chunk', old_digest)
            outcome = await accept(store, printed(), 2)
            assert isinstance(outcome, SubmissionResult)
            stale = await store.delete('config_chunk', old_digest, before.version)
            assert stale.kind is ErrorKind.STORE_CONFLICT
            await read_all(store)

        anyio.run(run)


class TestDigest:
    """The printed and the reviewed digest are the same."""

    def test_print_and_review_agree(self):
        """An integer given for a float field once changed the digest when read back."""
        built = small_deployment(DOMAINS).build()
        read_back = canonical.parse(canonical.render(built))
        assert canonical.digest(built) == canonical.digest(read_back)


class TestSplices:
    """Applying a splice restores the new content."""

    @pytest.mark.parametrize(
        ('before', 'after'),
        [
            (b'', b''),
            (b'', b'abc'),
            (b'abc', b''),
            (b'abcabc', b'abc'),
            (b'abc', b'abcabc'),
            (b'aXb', b'aYYb'),
            (b'aaaa', b'aaaaa'),
        ],
    )
    def test_round_trip(self, before, after):
        """A common head and tail that overlap must not be counted twice."""
        splice = splices.make(before, after)
        assert splices.apply(before, splice) == after

    def test_splice_of_another_base_is_refused(self):
        """A splice from a peer may keep more bytes than its base has."""
        wrong = splices.Splice(5, 5, b'')
        assert isinstance(splices.apply(b'abc', wrong), Failure)
        negative = splices.Splice(-1, 2, b'')
        assert isinstance(splices.apply(b'abc', negative), Failure)
