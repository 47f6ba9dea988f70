// Package examples holds the example tables and settings of both users.
package examples

import "embed"

// Files holds the example files, in one directory per user.
//
//go:embed sauna/*.json dressing/*.json
var Files embed.FS
