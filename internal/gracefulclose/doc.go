// Package gracefulclose closes listening sockets without losing connections. The backlog of a socket, which is the
// connections that the kernel has established and that the program has not accepted yet, is reset when the socket is
// closed. The package therefore delays the close until the program has had the time to accept the backlog. BacklogWatch
// is pure; WaitForBacklog and WrapListener use the clock.
package gracefulclose
