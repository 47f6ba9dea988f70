package commands

import (
	"os"

	"github.com/gravitational/trace"

	"mimosayard/internal/core/catalog"
	"mimosayard/internal/core/configcheck"
	"mimosayard/internal/instance/entry"
	"mimosayard/platform"
)

// configFlags are the flags for a check of a configuration of a shared
// platform.
type configFlags struct {
	file    string
	against string
	strict  bool
}

// configOutput is the JSON output for a configuration.
type configOutput struct {
	OK       bool            `json:"ok"`
	Findings []configFinding `json:"findings"`
}

// configFinding is a finding with the names of the file.
type configFinding struct {
	Severity configcheck.Severity `json:"severity"`
	Location string               `json:"location"`
	Problem  string               `json:"problem"`
}

// acceptedOfCallers is what an instance accepts of callers at most.
var acceptedOfCallers = configcheck.Accepted{
	HeaderBytes:   entry.MaxHeaderBytes,
	HeaderTimeout: entry.ReadHeaderTimeout,
	IdleTimeout:   entry.IdleTimeout,
}

func (i *invocation) configFlags() *configFlags {
	flags := &configFlags{}
	i.flags.StringVar(&flags.file, "config", "", "check the configuration of a shared platform in `FILE`")
	i.flags.StringVar(&flags.against, "against", "", "with -config, show the differences from the version in `FILE`")
	i.flags.BoolVar(&flags.strict, "strict", false, "with -config, take warnings for errors")
	return flags
}

// checkConfig prints the findings about a configuration. It ends with ExitUsage
// if there are errors.
func (i *invocation) checkConfig(flags *configFlags, asJSON bool) error {
	config, findings, err := readConfig(flags.file)
	if err != nil {
		return err
	}
	if config != nil {
		findings = append(findings, configcheck.Check(config, acceptedOfCallers)...)
		if flags.against != "" {
			inForce, err := readConfigInForce(flags.against)
			if err != nil {
				return err
			}
			findings = append(findings, configcheck.Compare(inForce, config)...)
		}
	}
	configcheck.Sort(findings)
	counts := map[configcheck.Severity]int{}
	output := configOutput{Findings: []configFinding{}}
	for _, finding := range findings {
		if flags.strict && finding.Severity == configcheck.Warning {
			finding.Severity = configcheck.Error
		}
		counts[finding.Severity]++
		output.Findings = append(output.Findings, configFinding{finding.Severity, platform.ConfigLocation(finding), finding.Problem})
	}
	output.OK = counts[configcheck.Error] == 0
	if asJSON {
		if err := i.printJSON(output); err != nil {
			return err
		}
	} else {
		for _, finding := range output.Findings {
			i.printf("%s: %s: %s: %s\n", flags.file, finding.Severity, finding.Location, finding.Problem)
		}
		i.printf("errors: %d, warnings: %d, differences: %d\n",
			counts[configcheck.Error], counts[configcheck.Warning], counts[configcheck.Difference])
	}
	if !output.OK {
		return &exitError{code: ExitUsage}
	}
	return nil
}

func readConfig(file string) (*catalog.Catalog, []configcheck.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &exitError{code: ExitUsage, err: err}
	}
	config, findings, err := platform.DecodeConfigStrictly(data)
	if err != nil {
		return nil, nil, usageError("%s: %s", file, trace.UserMessage(err))
	}
	return config, findings, nil
}

// readConfigInForce reads the version in force. Findings about it are left out,
// since it is replaced, but a file without a version is no configuration.
func readConfigInForce(file string) (*catalog.Catalog, error) {
	config, _, err := readConfig(file)
	if err != nil {
		return nil, err
	}
	if config == nil || config.Version == 0 {
		return nil, usageError("%s: is not a configuration with a version", file)
	}
	return config, nil
}
