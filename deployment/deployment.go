// Package deployment defines the configuration that operators submit: models, rank
// groups, services, endpoints, organisations and the rules for which requests may
// be repeated. A Deployment returned by Parse is valid and must not be modified; a
// changed configuration is parsed anew.
package deployment

// Deployment is a complete configuration. All slices are in canonical order: sorted
// by name, routes by path and method.
type Deployment struct {
	// Name identifies the deployment, such as "zilina".
	Name string `yaml:"name" json:"name"`
	// Models are the models that callers may request.
	Models []Model `yaml:"models,omitempty" json:"models,omitempty"`
	// Groups are the rank groups, which run in lock-step.
	Groups []Group `yaml:"groups,omitempty" json:"groups,omitempty"`
	// Services are the plain HTTP services, as opposed to models.
	Services []Service `yaml:"services,omitempty" json:"services,omitempty"`
	// Endpoints are the model engines and the workers of plain services.
	Endpoints []Endpoint `yaml:"endpoints" json:"endpoints"`
	// Organisations are the organisations that callers belong to.
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	// Weights scale the drain weights of all endpoints of a VM or failure domain.
	Weights []Weight `yaml:"weights,omitempty" json:"weights,omitempty"`
	// Evacuated names the failure domains whose endpoints get no requests, whatever their
	// weights.
	Evacuated []string `yaml:"evacuated,omitempty" json:"evacuated,omitempty"`
}

// Model is a model that callers name in their requests.
type Model struct {
	// Name is the name by which callers request the model.
	Name string `yaml:"name" json:"name"`
	// MaxTokens limits the number of tokens of one answer.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens"`
	// Repeat states whether a generation may run more than once.
	Repeat Repeat `yaml:"repeat" json:"repeat"`
}

// Group is a rank group: engines that run in lock-step and share one expert map.
type Group struct {
	// Name identifies the group.
	Name string `yaml:"name" json:"name"`
	// Model is the model that the group serves.
	Model string `yaml:"model" json:"model"`
	// Layers is the number of layers that have experts.
	Layers int `yaml:"layers" json:"layers"`
	// Experts is the number of experts in a layer.
	Experts int `yaml:"experts" json:"experts"`
	// Slots is the number of experts per layer that one rank holds.
	Slots int `yaml:"slots" json:"slots"`
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64 `yaml:"expert_bytes" json:"expert_bytes"`
	// Objective weighs step-time skew against the cost of rebalancing.
	Objective Objective `yaml:"objective" json:"objective"`
}

// Objective holds the weights of the placement objective.
type Objective struct {
	// Skew is the weight of step-time skew.
	Skew float64 `yaml:"skew" json:"skew"`
	// Move is the weight of the cost of moving experts to rebalance the group.
	Move float64 `yaml:"move" json:"move"`
}

// Service is a plain HTTP service, as opposed to a model.
type Service struct {
	// Name identifies the service in the URL paths of callers.
	Name string `yaml:"name" json:"name"`
	// Routes are the calls that the service accepts.
	Routes []Route `yaml:"routes" json:"routes"`
}

// Route is a call of a plain service and its repeat rule.
type Route struct {
	// Method is an HTTP method in capitals.
	Method string `yaml:"method" json:"method"`
	// Path is the exact path below the service, beginning with a slash.
	Path string `yaml:"path" json:"path"`
	// Repeat states whether a call may run more than once.
	Repeat Repeat `yaml:"repeat" json:"repeat"`
	// KeepAnswerSeconds is how long the answer of a protected call is kept for
	// replay.
	KeepAnswerSeconds int `yaml:"keep_answer_seconds,omitempty" json:"keep_answer_seconds,omitempty"`
}

// Repeat is a repeat rule: it states whether a request may run more than once.
type Repeat string

// The repeat rules.
const (
	// RepeatAlways marks a request that may run any number of times.
	RepeatAlways Repeat = "always"
	// RepeatUnlessRun marks a request that is retried only if it provably did not
	// run.
	RepeatUnlessRun Repeat = "unless-run"
	// RepeatNever marks a protected request: it needs an idempotency key and
	// runs at most once.
	RepeatNever Repeat = "never"
)

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoint.
const (
	// KindEngine is a model engine, one rank of a group.
	KindEngine Kind = "engine"
	// KindService is a worker of a plain service.
	KindService Kind = "service"
)

// Endpoint is a model engine or a service worker with the agent beside it.
type Endpoint struct {
	// Name identifies the endpoint in the deployment.
	Name string `yaml:"name" json:"name"`
	// Kind states whether the endpoint is an engine or a service worker.
	Kind Kind `yaml:"kind" json:"kind"`
	// VM is the VM that the endpoint runs on.
	VM string `yaml:"vm" json:"vm"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
	// Region is the region of the failure domain.
	Region string `yaml:"region" json:"region"`
	// Address is the address of the endpoint itself, as IP:port. Only its agent
	// calls it.
	Address string `yaml:"address" json:"address"`
	// Agent is the address of the agent beside the endpoint, as IP:port.
	Agent string `yaml:"agent" json:"agent"`
	// Group is the rank group of an engine.
	Group string `yaml:"group,omitempty" json:"group,omitempty"`
	// Rank is the engine's rank in its group, from 0.
	Rank int `yaml:"rank,omitempty" json:"rank,omitempty"`
	// Service is the plain service of a worker.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Role may restrict an engine to one phase of a generation.
	Role Role `yaml:"role,omitempty" json:"role,omitempty"`
	// Concurrency is the number of requests that the endpoint runs at the same time.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// ChecksFencing states whether the engine rejects orders with an old fencing
	// token. If it does not, its agent rejects them instead.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// ChecksOrderer states whether the endpoint checks the sender of an order.
	ChecksOrderer bool `yaml:"checks_orderer,omitempty" json:"checks_orderer,omitempty"`
	// Resumes states whether the engine can resume a stream at a given token.
	Resumes bool `yaml:"resumes,omitempty" json:"resumes,omitempty"`
	// Weight is the drain weight in percent, from 0 for no new requests to 100 for a
	// full share.
	Weight int `yaml:"weight" json:"weight"`
}

// Role is the phase of a generation that an engine is used for.
type Role string

// The roles of an engine. An empty role means RoleBoth.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Organisation is an organisation of callers.
type Organisation struct {
	// Name identifies the organisation.
	Name string `yaml:"name" json:"name"`
	// KeySHA256 holds the hashes of the organisation's API keys, in hexadecimal.
	KeySHA256 []string `yaml:"key_sha256" json:"key_sha256"`
	// Share is the organisation's weight in fair queues.
	Share int `yaml:"share" json:"share"`
	// Limits restrict what the organisation may use.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// Limits restrict an organisation across all entry nodes together. Zero means no
// limit.
type Limits struct {
	// RequestsPerSecond limits the rate of admitted requests.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	// TokensPerSecond limits the rate of generated tokens.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty"`
	// Concurrent limits the number of requests in flight.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
}

// Scope is the kind of thing that a Weight applies to.
type Scope string

// The scopes of a Weight.
const (
	ScopeVM            Scope = "vm"
	ScopeFailureDomain Scope = "failure_domain"
)

// Weight drains a VM or a failure domain: the weight of each of its endpoints is
// scaled by Percent.
type Weight struct {
	// Scope states whether Name is a VM or a failure domain.
	Scope Scope `yaml:"scope" json:"scope"`
	// Name is the VM or the failure domain.
	Name string `yaml:"name" json:"name"`
	// Percent is from 0 for no new requests to 100 for a full share.
	Percent int `yaml:"percent" json:"percent"`
}
