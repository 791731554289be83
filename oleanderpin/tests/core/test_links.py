"""Links between the documentation pages."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
PAGES = (ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md')))


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_links_name_existing_files(page: Path) -> None:
    """Guards against pages that are moved without updating links to them."""
    links = re.findall(r'\]\(([^)#\s]+)', page.read_text(encoding='utf-8'))
    local = [link for link in links if '://' not in link]
    missing = [link for link in local if not (page.parent / link).exists()]
    assert missing == []
