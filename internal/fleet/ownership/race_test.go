//go:build race

package ownership

const raceEnabled = true
