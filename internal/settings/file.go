package settings

import (
	"os"
	"time"
)

// File is where a process's settings come from.
type File struct {
	Path string
	// Overrides have the form "section.key=value".
	Overrides []string
}

// Load reads and checks the settings.
func (file File) Load() (Settings, error) { return Load(file.Path, file.Overrides) }

// Fingerprint tells two contents of a settings file apart without reading it.
type Fingerprint struct {
	Size     int64
	Modified time.Time
}

// Fingerprint returns the file's present fingerprint.
func (file File) Fingerprint() (Fingerprint, error) {
	information, err := os.Stat(file.Path)
	if err != nil {
		return Fingerprint{}, err
	}
	return Fingerprint{Size: information.Size(), Modified: information.ModTime()}, nil
}
