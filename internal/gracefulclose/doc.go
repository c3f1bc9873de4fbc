// Package gracefulclose closes listening sockets without losing connections: those that the kernel has
// established for a socket and that the program has not accepted yet, its backlog, are reset when the socket is
// closed. BacklogWatch is pure; WaitForBacklog and WrapListener use the clock.
package gracefulclose
