"""Prints the source folder that a process of a test cluster runs."""

import json
from pathlib import Path

from gentianpulley import background

if __name__ == '__main__':
    folder = Path(background.__file__).parent
    print(json.dumps({'sources': str(folder)}))
