"""Compares the actions for fixed event sequences with recorded hashes, to the last digit.

A change that is meant to change decisions replaces the recorded values and says so; a change of structure must not.
"""

from __future__ import annotations

import pytest

from tests.recording import SEQUENCES, Sequence, SequenceRunner

RECORDED = {
    "calm": (
        261,
        "bd75c9028a955ba5a5e23cff96dd24496e2f1bd76654d35aa3e618c84bec13c7",
    ),
    "rolling_restart": (
        640,
        "482087942c1441f22ca741f9450392047226a91875fd9c2dae251c5764348305",
    ),
    "reconnect_storms": (
        1772,
        "022faedcbdb67861d37ce352ac32dcc5a00925fbe491df4da690bab1b499e53d",
    ),
    "overload": (
        512,
        "56861728a0b2a48445930b5e94b4340fa134b5fdd87658f8c009ef35169310b6",
    ),
    "overload_by_rate": (
        393,
        "1ce51aa1ea5f44fb027854e5cc66d032d4c1a886d42a97bc2b0bc659279b739d",
    ),
    "no_admission": (
        348,
        "a18e97c9e1b339203a3fef52459080e9c83c6b0a0fde071e145605b3e5bccde9",
    ),
    "outliers": (
        395,
        "2b4cdb57afb20a9972dcc2810e30a54e383b09b49c66826af1527cf4784fd49b",
    ),
    "partitions": (
        535,
        "7232775189a02b73b981676a3c17981af5e73f737494bc38cd98e0fdb27eb4c9",
    ),
    "subsets": (
        8371,
        "0f47b3c1cb5fc2c78f8b4f43395905836b8ab463e4baa63dae2bd83b576f34a8",
    ),
    "subsets_zone_bound": (
        17073,
        "c4df9aeeef8fa0e44af6e1399bafe535cf4f57d37eb26d9bb9e082e3f4f2485d",
    ),
    "own_tables": (
        1850,
        "d660083f3205a88adc017adacc504b5590898c4da48c48c5fed0ee9d6353914d",
    ),
    "polled_list": (
        526,
        "740d6ce317089eaa1f4845bc07aab5cd9ae34778b577d98895900f447fc40345",
    ),
    "lost_calls": (
        537,
        "71c64b01e9d2eb0d2727c313cd227629905ae211caaed736841839c89a7aab34",
    ),
    "small_channel": (
        596,
        "1cb1f82126605662a9be08d48522231e1907c148adb1e5c2647dfcf493648645",
    ),
    "message_limit": (
        688,
        "642467bb1848dc611af85c36d90f388efe3e80b9fba7160efe26f23918075774",
    ),
    "drains_at_once": (
        1153,
        "80c8ead0982aef649a3e90f5c1807df5ec0ffcfbd24afd168dfee4077f1e6477",
    ),
    "load_reports": (
        261,
        "090627a067b71ba504c1bf954ca601d0568fa3a7cb38f86e50151e0be9908b4e",
    ),
    "inherited_tables": (
        273,
        "5fd93d22369e06be7fa1d81aa286121a1014ffdb030ae503277c00968e2a5cda",
    ),
    "tiny_channel": (
        196,
        "f61eb792a6003d2f5374c1bce43890a1395a48ba73b1976c311488058b149b9d",
    ),
    "takeover": (
        5528,
        "aee60064c9e21730f910d1b25e55719f86c9861169a0bdf21dd8dcb54009fafc",
    ),
    "slices": (
        19,
        "05ac3e551809d2890657c2b701a9e9506d3f4d1026a0ab6f1070da8006291463",
    ),
    "empty_start": (
        3955,
        "56ead48c3130f6cfc2cd03ec4f8d032f15da6e6d7d1d6b07d5bdf4af924939d1",
    ),
}


@pytest.mark.parametrize("sequence", SEQUENCES, ids=lambda sequence: str(sequence.name))
def test_event_sequences_give_the_recorded_actions(sequence: Sequence) -> None:
    runner = SequenceRunner(sequence)
    digest = runner.run()
    assert (runner.actions, digest) == RECORDED[sequence.name]


def test_every_recorded_sequence_is_run() -> None:
    assert [sequence.name for sequence in SEQUENCES] == list(RECORDED)
