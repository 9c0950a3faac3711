"""Test the choice of a backend server by when it is expected to answer."""

import pytest

from cicadadoor.decisions.expected_finish import (
    RatedServer,
    ServiceTimes,
    Slowdown,
    TimeLimits,
    choose_by_finish,
    time_until_room_s,
)
from cicadadoor.decisions.placement import CacheState, Choice

# Ege's route list: 540 ms of work, 0.3 of it where the object is cached.
TIMES = ServiceTimes(cached_s=0.162, uncached_s=0.54)
OBJECTIVE_S = 0.512
DEADLINE_S = 3.837
SLOTS = 6


def cached(name: str, load: float, **fields: float) -> RatedServer:
    return _rated(name, load, CacheState.CACHED, **fields)


def loading(name: str, load: float, **fields: float) -> RatedServer:
    return _rated(name, load, CacheState.LOADING, **fields)


def not_cached(name: str, load: float, **fields: float) -> RatedServer:
    return _rated(name, load, CacheState.NOT_CACHED, **fields)


def _rated(name, load, cache_state, **fields) -> RatedServer:
    options = {'slots': SLOTS, **fields}
    return RatedServer(name, load=load, cache_state=cache_state, **options)


def chosen(
    *ranked: RatedServer,
    may_wait: bool = True,
    objective_s: float = OBJECTIVE_S,
    deadline_s: float = DEADLINE_S,
    is_urgent: bool = False,
) -> Choice:
    limits = TimeLimits(
        objective_s=objective_s, deadline_s=deadline_s, is_urgent=is_urgent
    )
    return choose_by_finish(ranked, TIMES, limits, may_wait=may_wait)


def is_refused(choice: Choice) -> bool:
    return choice.send_to is None and choice.wait_for is None


class TestFinish:
    """The estimate of when a server answers."""

    def test_free_slot_means_no_wait(self):
        assert cached('a', SLOTS - 1).wait_s(TIMES) == 0

    def test_queue_as_long_as_the_slots_takes_one_service_time(self):
        assert cached('a', 2 * SLOTS - 1).wait_s(TIMES) == pytest.approx(0.162)

    def test_slow_machine_delays_work_and_queue(self):
        slow = cached('a', 2 * SLOTS - 1, slowdown=2.5)
        assert slow.finish_s(TIMES) == pytest.approx(2 * 0.162 * 2.5)

    def test_distance_is_added_once(self):
        assert cached('a', 0, distance_s=0.04).finish_s(TIMES) == pytest.approx(0.202)

    @pytest.mark.parametrize('state', (CacheState.LOADING, CacheState.NOT_CACHED))
    def test_object_that_is_not_cached_takes_as_long_as_its_load(self, state):
        assert _rated('a', 0, state).finish_s(TIMES) == pytest.approx(0.54)

    def test_unmeasured_load_time_is_not_shorter_than_the_cached_time(self):
        times = ServiceTimes(cached_s=0.2, uncached_s=0)
        assert not_cached('a', 0).finish_s(times) == pytest.approx(0.2)


class TestSurge:
    """Demand for one object that its first server has no room for."""

    def test_request_stays_while_its_server_answers_in_time(self):
        # Guards against copies at further servers, whose caches are short.
        assert chosen(cached('a', 2 * SLOTS), not_cached('b', 0)).send_to == 'a'

    def test_second_server_loads_what_the_first_answers_too_late(self):
        assert chosen(cached('a', 4 * SLOTS), not_cached('b', 0)).send_to == 'b'

    def test_second_copy_is_used_before_a_third_is_made(self):
        ranked = (cached('a', 4 * SLOTS), not_cached('b', 0), cached('c', 1))
        assert chosen(*ranked).send_to == 'c'

    def test_request_waits_for_a_second_copy_that_is_being_loaded(self):
        ranked = (cached('a', 4 * SLOTS), loading('b', 1), not_cached('c', 0))
        assert chosen(*ranked).wait_for == 'b'

    def test_soonest_copy_is_used_when_all_have_queues(self):
        ranked = (cached('a', 2 * SLOTS), cached('b', 1.5 * SLOTS))
        assert chosen(*ranked).send_to == 'b'

    def test_copy_without_a_queue_comes_before_one_with_a_queue(self):
        ranked = (cached('a', 2 * SLOTS), cached('b', SLOTS - 1))
        assert chosen(*ranked).send_to == 'b'

    def test_busy_servers_are_passed_over_for_a_load(self):
        ranked = (cached('a', 4 * SLOTS), not_cached('b', SLOTS), not_cached('c', 0))
        assert chosen(*ranked).send_to == 'c'

    def test_urgent_request_queues_for_longer(self):
        # The first server answers after 0.42 s.
        ranked = (cached('a', 14.6), not_cached('b', 0))
        assert chosen(*ranked, is_urgent=True).send_to == 'a'
        assert chosen(*ranked).send_to == 'b'


class TestFreeSlots:
    """Requests are not refused while a server has a free slot."""

    def test_last_free_slot_is_used_for_a_load_rather_than_a_refusal(self):
        full = [not_cached(name, 2 * SLOTS) for name in 'ab']
        assert chosen(*full, not_cached('c', SLOTS - 1)).send_to == 'c'

    def test_further_server_keeps_its_last_slot_while_another_has_more(self):
        full = [not_cached(name, 2 * SLOTS) for name in 'ab']
        ranked = (*full, not_cached('c', SLOTS - 1), not_cached('d', 0))
        assert chosen(*ranked).send_to == 'd'

    def test_object_is_loaded_at_its_first_servers_even_if_they_are_busy(self):
        # Guards against copies at all servers that happen to have room.
        ranked = (not_cached('a', SLOTS - 1), not_cached('b', 0), not_cached('c', 0))
        assert chosen(*ranked).send_to == 'a'

    def test_object_is_not_loaded_where_all_slots_are_in_use(self):
        ranked = (not_cached('a', SLOTS), not_cached('b', 0))
        assert chosen(*ranked).send_to == 'b'

    def test_servers_with_a_single_slot_load_objects(self):
        assert chosen(not_cached('a', 0, slots=1)).send_to == 'a'

    def test_another_copy_is_made_at_a_server_with_spare_slots(self):
        ranked = (cached('a', 9 * SLOTS), not_cached('b', 1))
        assert chosen(*ranked).send_to == 'b'

    def test_no_other_copy_is_made_while_all_servers_are_nearly_full(self):
        """Each load took the slots of three requests, and all servers became late."""
        ranked = (cached('a', 9 * SLOTS), not_cached('b', SLOTS - 1))
        assert is_refused(chosen(*ranked))

    def test_free_slot_is_not_used_where_the_answer_would_miss_the_deadline(self):
        assert is_refused(chosen(not_cached('a', 0), deadline_s=0.5))


class TestLateRequests:
    """Requests whose objective has passed, as after the wait for a load."""

    def test_cached_server_with_a_free_slot_comes_before_another_load(self):
        # Guards against one more load, and one more copy, for each request that has
        # waited for the first load.
        ranked = (cached('a', 1), not_cached('b', 0))
        assert chosen(*ranked, objective_s=-0.1).send_to == 'a'

    def test_cached_server_with_a_free_slot_comes_before_another_wait(self):
        ranked = (cached('a', 1), loading('b', 0))
        assert chosen(*ranked, objective_s=-0.1).send_to == 'a'

    def test_short_queue_comes_before_another_load(self):
        ranked = (cached('a', SLOTS + 3), not_cached('b', 0))
        assert chosen(*ranked, objective_s=-0.1).send_to == 'a'

    def test_load_comes_before_a_queue_that_takes_longer(self):
        ranked = (cached('a', 5 * SLOTS), not_cached('b', 0))
        assert chosen(*ranked, objective_s=-0.1).send_to == 'b'

    def test_late_request_does_not_wait_long(self):
        # Requests that are still in time would queue behind it.
        ranked = (cached('a', 4 * SLOTS),)
        assert is_refused(chosen(*ranked, objective_s=-0.1))

    def test_soonest_of_the_late_servers_is_chosen(self):
        ranked = (cached('a', SLOTS + 4), cached('b', SLOTS))
        assert chosen(*ranked, objective_s=-0.1).send_to == 'b'


class TestSlowMachines:
    """Servers that share their machines and are slow for a moment."""

    def test_slow_server_keeps_requests_that_it_answers_in_time(self):
        ranked = (cached('a', 0, slowdown=2.5), not_cached('b', 0))
        assert chosen(*ranked).send_to == 'a'

    def test_free_slot_of_a_slow_server_comes_before_a_load_that_takes_longer(self):
        # Late by some ms: a moment of slowness must not add a copy.
        ranked = (cached('a', 0, slowdown=3.2), not_cached('b', 0))
        assert chosen(*ranked).send_to == 'a'

    def test_request_leaves_a_server_that_takes_longer_than_a_load(self):
        ranked = (cached('a', 0, slowdown=8.0), not_cached('b', 0))
        assert chosen(*ranked).send_to == 'b'

    def test_request_leaves_a_queue_at_a_slow_server(self):
        ranked = (cached('a', SLOTS + 5, slowdown=2.5), not_cached('b', 0))
        assert chosen(*ranked).send_to == 'b'


class TestRefusals:
    """Servers without room."""

    def test_full_servers_mean_a_refusal(self):
        ranked = (cached('a', 9 * SLOTS), not_cached('b', SLOTS))
        assert is_refused(chosen(*ranked))

    def test_nothing_is_chosen_without_servers(self):
        assert is_refused(chosen())

    def test_server_that_answers_after_the_deadline_is_not_chosen(self):
        assert is_refused(chosen(cached('a', 0), objective_s=0.1, deadline_s=0.1))

    def test_request_that_cannot_wait_is_not_left_waiting(self):
        choice = chosen(loading('a', SLOTS), may_wait=False)
        assert is_refused(choice)


class TestTimeUntilRoom:
    """The time after which a refused request finds a server with room."""

    def test_server_accepts_the_request_after_that_time_and_not_before(self):
        # Guards against retries that come back at once and are refused again.
        full = cached('a', 9 * SLOTS - 1)
        room_s = time_until_room_s([full], TIMES, OBJECTIVE_S)
        drained = room_s / 0.162 * SLOTS
        assert is_refused(chosen(full))
        assert is_refused(chosen(cached('a', 9 * SLOTS - drained)))
        assert chosen(cached('a', 9 * SLOTS - 1 - drained - 0.01)).send_to == 'a'

    def test_it_is_that_of_the_soonest_server(self):
        near, far = cached('a', 9 * SLOTS), cached('b', 5 * SLOTS)
        both_s = time_until_room_s([near, far], TIMES, OBJECTIVE_S)
        assert both_s == time_until_room_s([far], TIMES, OBJECTIVE_S)
        assert both_s == pytest.approx(
            time_until_room_s([near], TIMES, OBJECTIVE_S) - 4 * 0.162
        )

    def test_slow_server_needs_longer(self):
        slow = cached('a', 9 * SLOTS - 1, slowdown=2.0)
        usual = cached('a', 9 * SLOTS - 1)
        assert time_until_room_s([slow], TIMES, OBJECTIVE_S) > 2 * time_until_room_s(
            [usual], TIMES, OBJECTIVE_S
        )

    def test_it_is_never_negative(self):
        assert time_until_room_s([cached('a', 0)], TIMES, OBJECTIVE_S) == 0

    def test_it_is_zero_without_servers(self):
        assert time_until_room_s([], TIMES, OBJECTIVE_S) == 0

    def test_objects_that_are_not_cached_need_a_free_slot(self):
        # Guards against retries that come back at once to servers that load nothing.
        room_s = time_until_room_s([not_cached('a', 2 * SLOTS - 1)], TIMES, OBJECTIVE_S)
        assert room_s >= 0.162

    def test_load_that_is_never_in_time_does_not_delay_the_retry(self):
        # The load takes 28 ms longer than the objective, however short the queue is.
        room_s = time_until_room_s([not_cached('a', SLOTS)], TIMES, OBJECTIVE_S)
        assert room_s <= 0.162


class TestSlowdown:
    """The reported speed of a server's machine."""

    def test_usual_speed_is_assumed_before_the_first_report(self):
        slowdown = Slowdown()
        assert not slowdown.is_reported
        assert slowdown.factor(10) == 1

    def test_fresh_report_is_used_as_it_is(self):
        slowdown = Slowdown()
        slowdown.note(2.5, 10.0)
        assert slowdown.factor(10.2) == 2.5

    def test_average_is_used_when_the_report_is_old(self):
        slowdown = Slowdown()
        slowdown.note(2.5, 10.0)
        assert 1 < slowdown.factor(10.5) < 1.2

    def test_server_that_stays_slow_is_known_as_slow(self):
        slowdown = Slowdown()
        for number in range(100):
            slowdown.note(2.5, number / 10)
        assert slowdown.factor(10.5) == pytest.approx(2.5, rel=0.2)

    def test_short_slowness_does_not_mark_the_server(self):
        slowdown = Slowdown()
        for number in range(400):
            slowdown.note(2.5 if number % 20 < 3 else 1.0, number / 20)
        assert slowdown.factor(21) == pytest.approx(1.225, abs=0.25)

    def test_server_without_requests_is_not_taken_for_slow_for_ever(self):
        # A server that is avoided sends no reports, so that it would stay avoided.
        slowdown = Slowdown()
        for number in range(100):
            slowdown.note(20.0, number / 10)
        assert slowdown.factor(40.0) < 1.5

    @pytest.mark.parametrize('reported', (0.0001, 1e9, float('inf')))
    def test_wrong_report_is_bounded(self, reported):
        slowdown = Slowdown()
        slowdown.note(reported, 10.0)
        assert 0.2 <= slowdown.factor(10.0) <= 20
        assert 0.2 <= slowdown.factor(11.0) <= 20
