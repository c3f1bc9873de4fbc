//go:build race

package consensus

const raced = true
