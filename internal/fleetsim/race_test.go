//go:build race

package fleetsim

const raced = true
