"""Tests of the bounds on the texts of ended jobs."""

from ..carried import CarriedText, CarriedTexts


def text_of(size=10_000):
    """Return a text of one event of about this many bytes."""
    return CarriedText(identity=b"i", events=("x" * size,), versions=(1,))


def test_memory_and_age_of_texts_are_bounded():
    # Guards against a daemon that runs out of memory because trainers never bring
    # their items again, and against sizes that no longer add up after replacements.
    texts = CarriedTexts(max_age_s=10.0, max_bytes=50_000)
    for number in range(100):
        texts.keep("w", "r", f"i{number % 30}", text_of(), float(number) / 100)
        assert texts.size_bytes <= 50_000
    assert texts.find("w", "r", "i9", 1.0) is not None
    assert texts.find("w", "r", "i0", 1.0) is None
    assert texts.find("others", "r", "i9", 1.0) is None
    assert texts.find("w", "r", "i9", 12.0) is None
    texts.keep("w", "r", "new", text_of(), 12.0)
    assert (len(texts), texts.size_bytes) == (1, text_of().size_bytes)
