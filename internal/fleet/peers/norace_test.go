//go:build !race

package peers

const raced = false
