"""Run all experiments: `python -m measure`."""

from measure import blocks, daemons, distribution, latency, limits, plots, steering
from measure.results import Results


def main() -> None:
    """Print one JSON line per result, then a table, and write the plots."""
    results = Results()
    for experiment in (limits, steering, distribution, blocks, daemons, latency):
        experiment.measure(results)
    results.print_table()
    plots.write(results)


if __name__ == '__main__':
    main()
