package process

import (
	"go.uber.org/fx"

	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/settings"
)

// ProvideDataFolder opens and locks the data folder of the settings. It releases the folder when the
// process stops.
func ProvideDataFolder(lifecycle fx.Lifecycle, chosen settings.Settings) (filesystem.FileSystem, error) {
	folder, err := disk.Open(chosen.DataFolder)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(folder.Close))
	return folder, nil
}
