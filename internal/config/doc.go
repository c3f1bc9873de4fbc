// Package config parses the configuration files of the load balancer program: the program's own file, the cluster files and
// the tenants' file. It does no I/O: its functions take the content of files and return either a complete, checked
// configuration or its problems with their files and lines (cluster.Problem).
//
// A file is first surveyed, which is one pass that checks its size limits and unknown keys without storing its content. It is
// then decoded strictly, and each part of it is checked and converted:
//
//   - survey.go, schema.go: limits and unknown keys, checked before a file is decoded into memory
//   - checksum.go: the checksum that a file may have in its first line
//   - decode.go, problems.go: decoding of TOML, and problems with their lines
//   - programfile.go, parseprogram.go, program.go: the program's file as decoded, its parsing, and the result
//   - listeners.go, classes.go, tenants.go, routes.go, xds.go, extproc.go, agree.go: parts of the program's file
//   - clusterfile.go, clusterformat.go, clusters.go: parsing a cluster file, formatting one, and parsing all of a version
//
// Types whose names end in File mirror the files: their struct tags are the keys that operators write.
package config
