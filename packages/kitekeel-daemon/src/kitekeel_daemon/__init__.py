"""Settings, wiring and life cycle of kitekeeld."""
