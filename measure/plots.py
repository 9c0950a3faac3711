"""Draw one bar chart for each experiment into measure/out/."""

from pathlib import Path

from matplotlib.figure import Figure

from measure.results import Results

_FOLDER = Path(__file__).parent / 'out'
# The main figure of each experiment, by which its cases are compared.
_CHARTED_FIGURES = {
    'limits': 'wrongful_fraction',
    'balancing': 'peak_in_flight',
    'shift': 'peak_load_over_capacity',
    'blocks': 'change_ms',
    'distribution': 'messages_to_all_per_host',
    'lookup': 'rate_per_s',
    'forward': 'rate_per_s',
}


def write(results: Results) -> None:
    """Write one PNG file per experiment that has results."""
    _FOLDER.mkdir(exist_ok=True)
    for experiment, figure_name in _CHARTED_FIGURES.items():
        bars = {
            row['case']: row[figure_name]
            for row in results.rows
            if row['experiment'] == experiment and figure_name in row
        }
        if bars:
            _draw(experiment, figure_name, bars)


def _draw(experiment: str, figure_name: str, bars: dict[str, float]) -> None:
    figure = Figure(figsize=(8, 4), layout='constrained')
    axes = figure.subplots()
    axes.barh(list(bars), list(bars.values()))
    axes.set_xlabel(figure_name)
    axes.set_title(experiment)
    figure.savefig(_FOLDER / f'{experiment}.png')
