package settings

import _ "embed"

// Source is the text of settings.go. The reference page of settings is generated from its doc comments,
// so that each setting is described in one place only.
//
//go:embed settings.go
var Source string
