package settings

import (
	"os"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/env/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/providers/structs"
	"github.com/knadh/koanf/v2"

	"merlinpaddle/internal/faults"
)

const (
	// keyDelimiter joins the parts of a key, as in "balancer.workers".
	keyDelimiter = "."
	// environmentPrefix starts the environment variables that override keys.
	environmentPrefix = "MERLINPADDLE_"
	// environmentDelimiter joins the parts of a key in a variable's name, as
	// in MERLINPADDLE_BALANCER__WORKERS.
	environmentDelimiter = "__"
	// fieldTag is the struct tag that holds a field's key.
	fieldTag = "koanf"
)

// Load reads the settings file at path and validates it. The file overrides the defaults, environment
// variables override the file, and overrides of the form "section.key=value" override both. An error
// names the field, its value, and the file, environment variable or override that the value came from.
func Load(path string, overrides []string) (Settings, error) {
	from := newOrigin(path, overrides)
	loaded, err := read(from, overrides)
	if err != nil {
		return Settings{}, err
	}
	if err := check(from, loaded); err != nil {
		return Settings{}, err
	}
	return loaded, nil
}

func read(from origin, overrides []string) (Settings, error) {
	tree := koanf.New(keyDelimiter)
	if err := tree.Load(structs.Provider(Default(), fieldTag), nil); err != nil {
		return Settings{}, faults.New(faults.CodeSettingsUnreadable, "defaults: %v", err)
	}
	if err := tree.Load(file.Provider(from.path), yaml.Parser()); err != nil {
		return Settings{}, faults.New(faults.CodeSettingsUnreadable, "%s: %v", from.path, err)
	}
	if err := tree.Load(environment(), nil); err != nil {
		return Settings{}, faults.New(faults.CodeSettingsUnreadable, "environment: %v", err)
	}
	if err := loadOverrides(tree, overrides); err != nil {
		return Settings{}, err
	}
	return decode(from, tree)
}

func environment() koanf.Provider {
	return env.Provider(keyDelimiter, env.Opt{
		Prefix: environmentPrefix,
		TransformFunc: func(name, value string) (string, any) {
			return keyOfVariable(name), value
		},
		EnvironFunc: os.Environ,
	})
}

// keyOfVariable returns the key that an environment variable overrides.
func keyOfVariable(name string) string {
	key := strings.TrimPrefix(name, environmentPrefix)
	return strings.ReplaceAll(strings.ToLower(key), environmentDelimiter, keyDelimiter)
}

func loadOverrides(tree *koanf.Koanf, overrides []string) error {
	for _, override := range overrides {
		key, value, found := strings.Cut(override, "=")
		if !found || key == "" {
			return faults.New(faults.CodeUsage, "override %q is not of the form section.key=value", override)
		}
		if err := tree.Load(confmap.Provider(map[string]any{key: value}, keyDelimiter), nil); err != nil {
			return faults.New(faults.CodeUsage, "override %q: %v", override, err)
		}
	}
	return nil
}

func decode(from origin, tree *koanf.Koanf) (Settings, error) {
	var decoded Settings
	decoderSettings := &mapstructure.DecoderConfig{
		Result:           &decoded,
		TagName:          fieldTag,
		ErrorUnused:      true,
		WeaklyTypedInput: true,
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.DecodeHookFuncValue(convertExactly),
			mapstructure.StringToSliceHookFunc(","),
		),
	}
	err := tree.UnmarshalWithConf("", &decoded, koanf.UnmarshalConf{Tag: fieldTag, DecoderConfig: decoderSettings})
	if err != nil {
		return Settings{}, faults.New(faults.CodeSettingsUnknownKey, "%s", strings.Join(from.describe(err), "\n"))
	}
	return decoded, nil
}
