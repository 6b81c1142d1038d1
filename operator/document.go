package operator

// document is the YAML form of a deployment.
type document struct {
	Name          string            `yaml:"name"`
	Models        []modelDoc        `yaml:"models,omitempty"`
	Groups        []groupDoc        `yaml:"groups,omitempty"`
	Services      []serviceDoc      `yaml:"services,omitempty"`
	Endpoints     []endpointDoc     `yaml:"endpoints"`
	Organisations []organisationDoc `yaml:"organisations"`
	Weights       []weightDoc       `yaml:"weights,omitempty"`
	Evacuated     []string          `yaml:"evacuated,omitempty"`
}

type modelDoc struct {
	Name      string `yaml:"name"`
	MaxTokens int    `yaml:"max_tokens"`
	Repeat    Repeat `yaml:"repeat"`
}

type groupDoc struct {
	Name        string       `yaml:"name"`
	Model       string       `yaml:"model"`
	Layers      int          `yaml:"layers"`
	Experts     int          `yaml:"experts"`
	Slots       int          `yaml:"slots"`
	ExpertBytes int64        `yaml:"expert_bytes"`
	Objective   objectiveDoc `yaml:"objective"`
}

type objectiveDoc struct {
	Skew float64 `yaml:"skew"`
	Move float64 `yaml:"move"`
}

type serviceDoc struct {
	Name   string     `yaml:"name"`
	Routes []routeDoc `yaml:"routes"`
}

type routeDoc struct {
	Method            string `yaml:"method"`
	Path              string `yaml:"path"`
	Repeat            Repeat `yaml:"repeat"`
	KeepAnswerSeconds int    `yaml:"keep_answer_seconds,omitempty"`
}

type endpointDoc struct {
	Name          string `yaml:"name"`
	Kind          string `yaml:"kind"`
	VM            string `yaml:"vm"`
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
	Address       string `yaml:"address"`
	Agent         string `yaml:"agent"`
	Group         string `yaml:"group,omitempty"`
	Rank          int    `yaml:"rank,omitempty"`
	Service       string `yaml:"service,omitempty"`
	Concurrency   int    `yaml:"concurrency"`
	ChecksFencing bool   `yaml:"checks_fencing,omitempty"`
	ChecksOrderer bool   `yaml:"checks_orderer,omitempty"`
	Resumes       bool   `yaml:"resumes,omitempty"`
	Weight        int    `yaml:"weight"`
}

type organisationDoc struct {
	Name      string    `yaml:"name"`
	KeySHA256 []string  `yaml:"key_sha256"`
	Share     int       `yaml:"share"`
	Limits    limitsDoc `yaml:"limits,omitempty"`
}

type limitsDoc struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty"`
	Concurrent        int     `yaml:"concurrent,omitempty"`
}

type weightDoc struct {
	Scope   string `yaml:"scope"`
	Name    string `yaml:"name"`
	Percent int    `yaml:"percent"`
}
