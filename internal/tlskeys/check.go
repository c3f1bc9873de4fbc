package tlskeys

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

// Check reads a folder once. It returns the set of its complete entries, a warning for each certificate that ends
// within 30 days, and the faults, joined. set is nil if the folder can't be read.
func Check(folder, defaultPair string, now time.Time) (warnings []string, set *Set, err error) {
	files, err := readFolder(folder)
	if err != nil {
		return nil, nil, err
	}
	set, faults := Update(Empty(), files, defaultPair, now)
	for _, e := range set.Expiring(now, expiryWarning) {
		file := filepath.Join(folder, e.Name+certSuffix)
		warnings = append(warnings, fmt.Sprintf("%s: ends in %s", file, formatDays(e.Remaining)))
	}
	return warnings, set, errors.Join(withFolder(folder, faults)...)
}

// withFolder puts a folder before the file names of faults.
func withFolder(folder string, faults []error) []error {
	for i, fault := range faults {
		faults[i] = fmt.Errorf("%s/%w", folder, fault)
	}
	return faults
}
