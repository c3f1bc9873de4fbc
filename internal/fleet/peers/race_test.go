//go:build race

package peers

const raced = true
