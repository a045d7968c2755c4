"""Tests of the package, its programs and the stand-ins."""
