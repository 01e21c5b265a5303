#!/bin/bash
cd "$(dirname "$0")"
exec ../../.venv/bin/python -B case.py
