package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// machineMemory returns the size of the machine's memory in bytes.
func machineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("/proc/meminfo: no memory size in the first line")
	}
	kb, err := strconv.ParseInt(fields[1], 10, 64)
	return kb << 10, err
}

// fileSystemNames maps the f_type of statfs to the name of the file system's type.
var fileSystemNames = map[int64]string{
	unix.TMPFS_MAGIC:           "tmpfs",
	unix.EXT4_SUPER_MAGIC:      "ext4",
	unix.XFS_SUPER_MAGIC:       "xfs",
	unix.BTRFS_SUPER_MAGIC:     "btrfs",
	unix.OVERLAYFS_SUPER_MAGIC: "overlay",
}

// fileSystem returns the name of the type of the file system that holds a folder, or the type's number in hexadecimal if
// its name is not known.
func fileSystem(dir string) (string, error) {
	var fs unix.Statfs_t
	if err := unix.Statfs(dir, &fs); err != nil {
		return "", fmt.Errorf("%s: %w", dir, err)
	}
	if name, known := fileSystemNames[int64(fs.Type)]; known {
		return name, nil
	}
	return fmt.Sprintf("%#x", fs.Type), nil
}

// loadAverage returns the machine's load average over the last minute, or 0 if it can't be read.
func loadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}
