package merlinctl

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/env/v2"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"

	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
)

// Output formats.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// configurationFlag is the flag that names the settings file. It is not a setting itself.
const configurationFlag = "config"

// environmentPrefix is the prefix of merlinctl's environment variables.
const environmentPrefix = "MERLINCTL_"

// Settings are the endpoints, credentials and limits of merlinctl's requests, and its output format.
// Each has a flag of the same name with "-" in place of "_".
type Settings struct {
	// Endpoints are the base URLs of the control members.
	Endpoints []string `koanf:"endpoints"`
	// Token is the bearer token. If it is empty, it is read from TokenFile.
	Token     string `koanf:"token"`
	TokenFile string `koanf:"token_file"`
	// Authority is the path of the PEM file with the certificate authority of the members.
	Authority string `koanf:"authority"`
	// ServerName is the name in the members' certificates, if it is not the
	// endpoint's host.
	ServerName string `koanf:"server_name"`
	// Output is "table" or "json".
	Output string `koanf:"output"`
	// Timeout is the time limit of each request, including all its attempts.
	Timeout time.Duration `koanf:"timeout"`
}

func addSettingsFlags(flags *pflag.FlagSet) {
	flags.StringSlice("endpoints", nil, "base URLs of the control members, separated by commas")
	flags.String("token", "", "bearer token (better: --token-file)")
	flags.String("token-file", "", "file with the bearer token")
	flags.String("authority", "", "file with the certificate authority of the members (PEM)")
	flags.String("server-name", "", "name in the members' certificates, if it is not the endpoint's host")
	flags.StringP("output", "o", OutputTable, `form of output, "table" or "json"`)
	flags.Duration("timeout", client.DefaultRetryBudget, "bound of each request with all its attempts")
}

// LoadSettings reads the settings file, the environment and the flags; each overrides those before
// it. Without a path it reads merlinctl/config.yaml in the user's configuration folder, if that
// exists.
func LoadSettings(path string, flags *pflag.FlagSet) (Settings, error) {
	loaded := koanf.New(".")
	if err := loadFile(loaded, path); err != nil {
		return Settings{}, err
	}
	environment := env.Provider(".", env.Opt{Prefix: environmentPrefix, TransformFunc: environmentValue})
	if err := loaded.Load(environment, nil); err != nil {
		return Settings{}, faults.New(faults.CodeUsage, "environment: %v", err)
	}
	flagValues := posflag.ProviderWithFlag(flags, ".", loaded, func(flag *pflag.Flag) (string, any) {
		if flag.Name == configurationFlag {
			return "", nil
		}
		return strings.ReplaceAll(flag.Name, "-", "_"), posflag.FlagVal(flags, flag)
	})
	if err := loaded.Load(flagValues, nil); err != nil {
		return Settings{}, faults.New(faults.CodeUsage, "flags: %v", err)
	}
	var settings Settings
	decoderConfig := &mapstructure.DecoderConfig{
		Result:           &settings,
		WeaklyTypedInput: true,
		ErrorUnused:      true,
		DecodeHook:       mapstructure.StringToTimeDurationHookFunc(),
	}
	if err := loaded.UnmarshalWithConf("", &settings, koanf.UnmarshalConf{DecoderConfig: decoderConfig}); err != nil {
		return Settings{}, faults.New(faults.CodeUsage, "settings: %v", err)
	}
	return settings, settings.validate()
}

// environmentValue returns the name and value of the setting that an environment variable sets. The
// name is empty for MERLINCTL_CONFIG, which names the settings file and is not a setting.
func environmentValue(name, value string) (string, any) {
	key := strings.ToLower(strings.TrimPrefix(name, environmentPrefix))
	if key == configurationFlag {
		return "", nil
	}
	if key == "endpoints" {
		return key, strings.Split(value, ",")
	}
	return key, value
}

func loadFile(loaded *koanf.Koanf, path string) error {
	optional := path == ""
	if optional {
		folder, err := os.UserConfigDir()
		if err != nil {
			return nil
		}
		path = filepath.Join(folder, "merlinctl", "config.yaml")
	}
	err := loaded.Load(file.Provider(path), yaml.Parser())
	if optional && errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return faults.New(faults.CodeUsage, "settings file %s: %v", path, err)
	}
	return nil
}

func (settings Settings) validate() error {
	if settings.Output != OutputTable && settings.Output != OutputJSON {
		return faults.New(faults.CodeUsage, `output must be "table" or "json", not %q`, settings.Output)
	}
	if settings.Timeout <= 0 {
		return faults.New(faults.CodeUsage, "timeout must be above zero, not %s", settings.Timeout)
	}
	return nil
}

// connect creates the client that the settings describe.
func connect(settings Settings) (*client.Client, error) {
	token := settings.Token
	if token == "" && settings.TokenFile != "" {
		content, err := os.ReadFile(settings.TokenFile)
		if err != nil {
			return nil, faults.New(faults.CodeUsage, "token file: %v", err)
		}
		token = strings.TrimSpace(string(content))
	}
	if token == "" {
		return nil, faults.New(faults.CodeUsage, "no token is given; use --token-file, MERLINCTL_TOKEN or the settings file")
	}
	return client.New(client.Options{
		Endpoints:   settings.Endpoints,
		Token:       token,
		Authority:   settings.Authority,
		ServerName:  settings.ServerName,
		RetryBudget: settings.Timeout,
	})
}
