//go:build !race

package agree

const raced = false
