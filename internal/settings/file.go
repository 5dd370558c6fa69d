package settings

import (
	"os"
	"time"
)

// File is a settings file with the overrides of the command line.
type File struct {
	Path string
	// Overrides have the form "section.key=value".
	Overrides []string
}

// Load reads and checks the settings.
func (file File) Load() (Settings, error) { return Load(file.Path, file.Overrides) }

// Fingerprint is the size and modification time of a settings file. It shows that the file changed
// without reading it.
type Fingerprint struct {
	Size     int64
	Modified time.Time
}

// Fingerprint returns the file's current fingerprint.
func (file File) Fingerprint() (Fingerprint, error) {
	information, err := os.Stat(file.Path)
	if err != nil {
		return Fingerprint{}, err
	}
	return Fingerprint{Size: information.Size(), Modified: information.ModTime()}, nil
}
