"""An id that comes again: a request that may have run is not run again."""

import pytest
from policy_driver import PolicyDriver, workers_sent_to

from wrenladder.policy.actions import Fail
from wrenladder.policy.events import FAILURE, NOT_SENT, OVERLOADED, SUCCESS, Abandoned, Request
from wrenladder.policy.run_history import MAX_GENERATION_SIZE, RunHistory


def submit_again(driver: PolicyDriver, request_id: str, request_class: str, delay: float = 0.0):
    """Submit a request whose id has been used before, and return the resulting actions."""
    driver.attempt_numbers.pop(request_id, None)
    return driver.handle(Request(request_id, request_class, "free", "c", 4.0), delay)


@pytest.mark.parametrize("request_class", ["write", "keyed"])
@pytest.mark.parametrize("status", [SUCCESS, FAILURE, "abandoned"])
def test_repeated_id_of_a_request_that_may_have_run_fails(request_class, status):
    driver = PolicyDriver(max_attempts=1)
    request_id, actions = driver.submit(request_class)
    if status == "abandoned":
        driver.handle(Abandoned(request_id))
        driver.finish_attempt(request_id, workers_sent_to(actions)[0], SUCCESS, request_ended=True)
    else:
        driver.finish_attempt(request_id, workers_sent_to(actions)[0], status)
    for _ in range(2):
        assert submit_again(driver, request_id, request_class, delay=4.0) == [Fail(request_id)]


@pytest.mark.parametrize("status", [OVERLOADED, NOT_SENT])
@pytest.mark.parametrize("abandoned", [False, True])
def test_repeated_id_of_a_request_that_never_ran_is_served(status, abandoned):
    driver = PolicyDriver(max_attempts=1)
    request_id, actions = driver.submit("write")
    if abandoned:
        driver.handle(Abandoned(request_id))
    driver.finish_attempt(request_id, workers_sent_to(actions)[0], status, request_ended=abandoned)
    assert workers_sent_to(submit_again(driver, request_id, "write"))


def test_repeated_id_of_a_pure_request_is_served():
    driver = PolicyDriver()
    request_id, actions = driver.submit("read")
    driver.finish_attempt(request_id, workers_sent_to(actions)[0])
    assert workers_sent_to(submit_again(driver, request_id, "read"))


def test_history_is_bounded_and_forgets_the_oldest():
    history = RunHistory(0.0, retention=10.0)
    for n in range(2 * MAX_GENERATION_SIZE + 1):
        history.record_attempt(0.0, f"r{n}")
    assert not history.may_have_run("r0") and history.may_have_run(f"r{MAX_GENERATION_SIZE}")
    history.record_attempt(9.9, "later")
    history.record_attempt(19.9, "last")
    assert history.may_have_run("later") and not history.may_have_run(f"r{MAX_GENERATION_SIZE}")


def test_request_is_remembered_while_one_of_its_attempts_may_have_run():
    history = RunHistory(0.0, retention=10.0)
    for now in (1.0, 11.0):  # in two generations
        history.record_attempt(now, "r")
    history.record_never_ran("r")
    assert history.may_have_run("r")
    history.record_never_ran("r")
    assert not history.may_have_run("r")
    history.record_never_ran("r")
