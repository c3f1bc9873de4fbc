package rig

import "strconv"

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
