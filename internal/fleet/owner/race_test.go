//go:build race

package owner

const raced = true
