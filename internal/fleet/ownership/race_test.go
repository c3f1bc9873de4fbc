//go:build race

package ownership

const raced = true
