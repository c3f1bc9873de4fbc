//go:build !race

package agent

const raced = false
