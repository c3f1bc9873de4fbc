package scale

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// machineMemory gives the machine's memory.
func machineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("/proc/meminfo: says nothing")
	}
	kb, err := strconv.ParseInt(fields[1], 10, 64)
	return kb << 10, err
}

// fileSystem names the kind of file system that a folder is on.
func fileSystem(dir string) (string, error) {
	var fs unix.Statfs_t
	if err := unix.Statfs(dir, &fs); err != nil {
		return "", fmt.Errorf("%s: %w", dir, err)
	}
	kinds := map[int64]string{unix.TMPFS_MAGIC: "tmpfs", unix.EXT4_SUPER_MAGIC: "ext4", unix.XFS_SUPER_MAGIC: "xfs", unix.BTRFS_SUPER_MAGIC: "btrfs", unix.OVERLAYFS_SUPER_MAGIC: "overlay"}
	if name, known := kinds[int64(fs.Type)]; known {
		return name, nil
	}
	return fmt.Sprintf("%#x", fs.Type), nil
}

// loadAverage gives the machine's loadAverage average over a minute; 0: it is not known.
func loadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(text), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}
