"""Merge a submission with the changes accepted since its base."""

import msgspec

from cicadadoor.config import chunks, model
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.ids import digest_of

# Not part of a submission: keys are granted and withdrawn by separate commands.
KEYS_SECTION = 'keys'
WEIGHTS_SECTION = 'weights'


class SectionEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the digest of a section and who changed it last."""

    digest: str
    generation: int
    author: str


def merge_sections(
    base_digests: dict[str, str],
    current: dict[str, SectionEntry],
    submitted: dict[str, bytes],
) -> dict[str, bytes | None] | Failure:
    """Return the sections that a submission changes; None marks a removed section.

    CONFIG_CONFLICT names the sections that were also changed since the base, and
    the authors of those changes.
    """
    changed: dict[str, bytes | None] = {}
    conflicts: list[str] = []
    for name in sorted(set(base_digests) | set(current) | set(submitted)):
        entry = current.get(name)
        content = submitted.get(name)
        digest = None if content is None else digest_of(content)
        current_digest = entry.digest if entry else None
        if digest in {current_digest, base_digests.get(name)}:
            continue
        if current_digest == base_digests.get(name):
            changed[name] = content
        else:
            conflicts.append(_conflict_reason(name, entry))
    if conflicts:
        return Failure(ErrorKind.CONFIG_CONFLICT, '; '.join(conflicts))
    return changed


def merge_weights(
    base: model.Weights,
    current: model.Weights,
    submitted: model.Weights,
) -> model.Weights | Failure:
    """Merge submitted weights rule by rule with the accepted weights.

    `base` holds the weights as last submitted and accepted. A rule that the operator
    has not edited since keeps the weights that shift steps gave it.
    """
    base_rules = _rules_by_key(base)
    current_rules = _rules_by_key(current)
    submitted_rules = _rules_by_key(submitted)
    rules: list[model.SteeringRule] = []
    # Rules keep the accepted order, so that equal weights encode to equal bytes.
    rule_keys = [*current_rules, *sorted(set(submitted_rules) - set(current_rules))]
    for rule_key in rule_keys:
        chosen = _merge_value(
            base_rules.get(rule_key),
            current_rules.get(rule_key),
            submitted_rules.get(rule_key),
        )
        if isinstance(chosen, Failure):
            service, home_region = rule_key
            return Failure(
                chosen.kind,
                f'weights of {service!r} for {home_region!r} were also changed by '
                'a shift or by another operator',
            )
        if chosen is not None:
            rules.append(chosen)
    max_step = _merge_value(base.max_step, current.max_step, submitted.max_step)
    if isinstance(max_step, Failure):
        return Failure(
            max_step.kind,
            f'max_step was also changed to {current.max_step} by another operator',
        )
    return model.Weights(
        rules=tuple(rules),
        max_step=max_step,
        shift_steps=current.shift_steps,
    )


def decode_weights(content: bytes) -> model.Weights | Failure:
    """Return the decoded section `weights`, or CONFIG_INVALID."""
    return chunks.decode(WEIGHTS_SECTION, content)


def _rules_by_key(
    weights: model.Weights,
) -> dict[tuple[str, str], model.SteeringRule]:
    return {(rule.service, rule.home_region): rule for rule in weights.rules}


def _merge_value(base: object, current: object, submitted: object) -> object:
    if submitted in (base, current):
        return current
    if current == base:
        return submitted
    return Failure(
        ErrorKind.CONFIG_CONFLICT, 'changed both in the submission and since its base'
    )


def _conflict_reason(name: str, entry: SectionEntry | None) -> str:
    if entry is None:
        return f'section {name!r} was removed since the base'
    return (
        f'section {name!r} was changed by {entry.author} in generation '
        f'{entry.generation}'
    )
