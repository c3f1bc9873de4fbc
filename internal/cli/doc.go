// Package cli implements the command line of the program yokestall. Most subcommands have a file of their own, which is
// named after the subcommand.
//
//   - cli.go builds the command tree and implements `node`. Any error makes the program exit with code 1; for
//     ErrReported the program prints no further text.
//   - serve.go implements `serve`, which runs the program with its configuration files; server.go holds the running
//     program. check.go and demo.go implement `check` and `demo`.
//   - fleet.go has the code that the subcommands of `fleet` in fleet_*.go share. fleet_member.go runs a node as a member
//     of a fleet.
//   - release.go implements `release`; release_file.go parses the file that `release` reads.
//   - lab.go has the code that the subcommands of `lab` in lab_*.go share.
//   - keys.go opens the configured TLS keys; memory.go applies the configured memory limit.
package cli
