//go:build race

package main

// raceEnabled reports whether the race detector's own memory is part of every process of a test.
const raceEnabled = true
