package settings

import (
	"fmt"
	"time"

	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/structs"
	"github.com/knadh/koanf/v2"
)

// Marshal returns the settings as YAML that Load reads back. Durations are written with a unit.
func Marshal(chosen Settings) ([]byte, error) {
	tree := koanf.New(keyDelimiter)
	if err := tree.Load(structs.Provider(chosen, fieldTag), nil); err != nil {
		return nil, fmt.Errorf("read the settings' fields: %w", err)
	}
	for _, key := range tree.Keys() {
		if duration, isDuration := tree.Get(key).(time.Duration); isDuration {
			if err := tree.Set(key, duration.String()); err != nil {
				return nil, fmt.Errorf("write %s: %w", key, err)
			}
		}
	}
	return tree.Marshal(yaml.Parser())
}
