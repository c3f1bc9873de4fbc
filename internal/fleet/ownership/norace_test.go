//go:build !race

package ownership

const raceEnabled = false
