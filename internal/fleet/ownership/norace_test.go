//go:build !race

package ownership

const raced = false
