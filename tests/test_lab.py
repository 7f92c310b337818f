import pathlib
import shutil

import pytest

from banyanshed import exceptions
from banyanshed import steering
from banyanshed.lab import __main__ as lab
from banyanshed.lab import experiments
from banyanshed.lab import policies
from banyanshed.lab import scenarios
from banyanshed.steering import placement

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples" / "lab"
SHORT = "name: short\nlength_s: 6\nmeasured_from_s: 3\n"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.yaml")), ids=str)
def test_examples_are_valid(path):
    assert scenarios.load(path.read_text()).variants


def test_findings_name_the_line_of_an_invalid_list_item():
    text = SHORT + (
        "faults:\n"
        "  - {trouble: slow, at_s: 1, for_s: 2, share: 0.5}\n"
        "  - {trouble: odd, at_s: 1, for_s: 2, share: 1.5}\n"
    )
    with pytest.raises(exceptions.InvalidSettings) as caught:
        scenarios.load(text)
    places = [finding.place for finding in caught.value.findings]
    assert places == [
        "line 6, field faults.1.trouble",
        "line 6, field faults.1.share",
    ]


def test_simulation_is_deterministic_per_seed():
    scenario = scenarios.load(SHORT)
    variant = scenario.variants[0]
    first = experiments.simulate(scenario, variant, 3)
    assert first == experiments.simulate(scenario, variant, 3)
    assert first != experiments.simulate(scenario, variant, 4)


def test_every_request_has_one_outcome():
    scenario = scenarios.load(
        SHORT + "rate: 150\nfaults:\n"
        "  - {trouble: down, at_s: 1, for_s: 2, share: 0.3}\n"
        "  - {trouble: failing, at_s: 3, for_s: 2, share: 0.3, severity: 0.5}\n"
    )
    result = experiments.simulate(scenario, scenario.variants[0], 1)
    ended = result.in_time + result.late + result.refused + result.failed
    assert ended == pytest.approx(1.0)


def test_constants_are_overridden_and_then_restored():
    former = placement.OVERFLOW_LOAD
    with policies.override_constants({"placement.OVERFLOW_LOAD": 9.0}):
        assert placement.OVERFLOW_LOAD == 9.0
    assert former == placement.OVERFLOW_LOAD


@pytest.mark.parametrize("path", ["placement.ODD", "odd.NAME", "NAME"])
def test_unknown_constants_are_findings(path):
    overriding = policies.override_constants({path: 1.0})
    with pytest.raises(exceptions.InvalidSettings), overriding:
        pass


def test_policy_ranking_matches_measured_runs():
    # In the first measured runs without faults, owner-only placement without
    # a queue limit ranked below the steering, and placement by load alone far
    # below both.
    scenario = scenarios.load((EXAMPLES / "few-warm-servers.yaml").read_text())
    in_time = {
        variant.name: experiments.simulate(scenario, variant, 1).in_time
        for variant in scenario.variants
    }
    ranked = sorted(in_time, key=in_time.get, reverse=True)
    assert ranked == ["steering", "owner only", "least loaded", "random"]


def test_command_prints_a_table_and_writes_a_plot(tmp_path, capsys):
    path = tmp_path / "short.yaml"
    path.write_text(SHORT)
    plot = tmp_path / "short.png"
    arguments = ["lab", str(path), "--seeds=2", f"--plot={plot}"]
    assert lab.main(arguments) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "short, 2 seeds"
    assert lines[2].startswith("steering")
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_command_reports_errors_of_a_file(tmp_path, capsys):
    path = tmp_path / "bad.yaml"
    path.write_text("name: bad\nhosts: none\n")
    assert lab.main(["lab", str(path)]) == lab.EXIT_FAILED
    assert "line 2, field hosts" in capsys.readouterr().err


def copy_steering_package(folder, replacements=None):
    """Copies the steering package with text replaced in placement.py."""
    package = folder / "src" / "banyanshed" / "steering"
    shutil.copytree(pathlib.Path(steering.__file__).parent, package)
    path = package / "placement.py"
    text = path.read_text()
    for old, new in (replacements or {}).items():
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return str(folder)


def compare_with(version):
    variants = (
        scenarios.Variant(name="now", policy=scenarios.Policy.STEERING),
        scenarios.Variant(
            name="before", policy=scenarios.Policy.STEERING, version=version
        ),
    )
    scenario = scenarios.load(SHORT).model_copy(update={"variants": variants})
    now, before = experiments.compare_variants(scenario, 1, 1)
    return now.results, before.results


def test_identical_version_gives_identical_results(tmp_path):
    now, before = compare_with(copy_steering_package(tmp_path))
    assert now == before


def test_other_version_uses_its_own_steering(tmp_path):
    # The copy considers every server full and every answer too late.
    version = copy_steering_package(
        tmp_path,
        {
            "FULL_LOAD = 1.0": "FULL_LOAD = -1.0",
            "FINISH_SHARE = 0.85": "FINISH_SHARE = 0.0",
        },
    )
    now, before = compare_with(version)
    assert now[0].in_time > 0.5
    assert before[0].refused == 1.0


def test_missing_version_is_a_finding(tmp_path):
    with pytest.raises(exceptions.InvalidSettings) as caught:
        compare_with(str(tmp_path))
    assert caught.value.findings[0].code == "unusable_version"
