//go:build !race

package owner

const raced = false
