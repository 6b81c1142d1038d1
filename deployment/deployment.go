// Package deployment owns the configuration that operators hand over: model
// groups, endpoints, organisations, services and the rules for which requests
// may be repeated. A Deployment that Parse returned is valid and is never
// changed afterwards; whoever needs another one parses another one.
package deployment

// Deployment is one whole configuration. All slices are kept in canonical
// order: sorted by name, routes by method and path.
type Deployment struct {
	// Name identifies the deployment, such as "zilina".
	Name string `yaml:"name" json:"name"`
	// Models are the models that callers may ask for.
	Models []Model `yaml:"models,omitempty" json:"models,omitempty"`
	// Groups are the rank groups that run in lock-step.
	Groups []Group `yaml:"groups,omitempty" json:"groups,omitempty"`
	// Services are the plain services that requests are routed to.
	Services []Service `yaml:"services,omitempty" json:"services,omitempty"`
	// Endpoints are the model engines and the service workers.
	Endpoints []Endpoint `yaml:"endpoints" json:"endpoints"`
	// Organisations are the callers' organisations.
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	// Weights override the drain weight of whole VMs or failure domains.
	Weights []Weight `yaml:"weights,omitempty" json:"weights,omitempty"`
}

// Model is a model that callers name in their requests.
type Model struct {
	// Name is the model's name as callers give it.
	Name string `yaml:"name" json:"name"`
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens"`
	// Repeat says whether a generation may run more than once.
	Repeat Repeat `yaml:"repeat" json:"repeat"`
}

// Group is a rank group: ranks that advance in lock-step on one expert map.
type Group struct {
	// Name identifies the group.
	Name string `yaml:"name" json:"name"`
	// Model is the model that the group serves.
	Model string `yaml:"model" json:"model"`
	// Layers is the number of layers that have experts.
	Layers int `yaml:"layers" json:"layers"`
	// Experts is the number of experts of a layer.
	Experts int `yaml:"experts" json:"experts"`
	// Slots is the number of experts that one rank holds for each layer.
	Slots int `yaml:"slots" json:"slots"`
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64 `yaml:"expert_bytes" json:"expert_bytes"`
	// Objective weighs step-time skew against rebalancing cost.
	Objective Objective `yaml:"objective" json:"objective"`
}

// Objective holds the weights of the placement objective.
type Objective struct {
	// Skew is the weight of step-time skew.
	Skew float64 `yaml:"skew" json:"skew"`
	// Move is the weight of rebalancing cost.
	Move float64 `yaml:"move" json:"move"`
}

// Service is a plain service.
type Service struct {
	// Name identifies the service in callers' paths.
	Name string `yaml:"name" json:"name"`
	// Routes are the calls that the service takes.
	Routes []Route `yaml:"routes" json:"routes"`
}

// Route is one call of a plain service with its repeat rule.
type Route struct {
	// Method is an HTTP method in capitals.
	Method string `yaml:"method" json:"method"`
	// Path is the exact path below the service, beginning with a slash.
	Path string `yaml:"path" json:"path"`
	// Repeat says whether a call may run more than once.
	Repeat Repeat `yaml:"repeat" json:"repeat"`
	// KeepAnswer is how long the answer of a protected call is kept for replay,
	// in seconds.
	KeepAnswerSeconds int `yaml:"keep_answer_seconds,omitempty" json:"keep_answer_seconds,omitempty"`
}

// Repeat is a repeat rule.
type Repeat string

// The repeat rules.
const (
	// RepeatAlways marks a request that may run any number of times.
	RepeatAlways Repeat = "always"
	// RepeatUnlessRun marks a request that is tried again only on proof that it
	// did not run.
	RepeatUnlessRun Repeat = "unless-run"
	// RepeatNever marks a protected request: it needs an idempotency key and
	// runs at most once.
	RepeatNever Repeat = "never"
)

// Kind says what stands behind an endpoint.
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
	// Kind says whether an engine or a plain service answers.
	Kind Kind `yaml:"kind" json:"kind"`
	// VM is the VM that the endpoint runs on.
	VM string `yaml:"vm" json:"vm"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
	// Region is the region of the failure domain.
	Region string `yaml:"region" json:"region"`
	// Address is where the endpoint itself listens, as IP:port. Only its agent
	// calls it.
	Address string `yaml:"address" json:"address"`
	// Agent is where the agent beside the endpoint listens, as IP:port.
	Agent string `yaml:"agent" json:"agent"`
	// Group and Rank place an engine in its rank group.
	Group string `yaml:"group,omitempty" json:"group,omitempty"`
	// Rank is the engine's rank in its group, from 0.
	Rank int `yaml:"rank,omitempty" json:"rank,omitempty"`
	// Service is the plain service that a worker serves.
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Role narrows what an engine is used for.
	Role Role `yaml:"role,omitempty" json:"role,omitempty"`
	// Concurrency is how many requests the endpoint runs at once.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// ChecksFencing says whether the engine refuses orders with an old fencing
	// token. Where it does not, the agent refuses for it.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// ChecksOrderer says whether the endpoint checks who gives it an order.
	ChecksOrderer bool `yaml:"checks_orderer,omitempty" json:"checks_orderer,omitempty"`
	// Resumes says whether the engine can resume a stream at a given token.
	Resumes bool `yaml:"resumes,omitempty" json:"resumes,omitempty"`
	// Weight is the drain weight from 0, no new work, to 100, a full share.
	Weight int `yaml:"weight" json:"weight"`
}

// Role is what an engine is used for.
type Role string

// The roles of an engine. An empty role counts as RoleBoth.
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
	// Limits bound what the organisation may use.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitempty"`
}

// Limits bound an organisation over all entry nodes together. Zero means no
// limit.
type Limits struct {
	// RequestsPerSecond bounds the rate of admitted requests.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	// TokensPerSecond bounds the rate of generated tokens.
	TokensPerSecond float64 `yaml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty"`
	// Concurrent bounds the requests in flight.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty"`
}

// Scope is what a Weight applies to.
type Scope string

// The scopes of a Weight.
const (
	ScopeVM            Scope = "vm"
	ScopeFailureDomain Scope = "failure_domain"
)

// Weight drains a whole VM or failure domain: the endpoints in it take Percent
// of their own weight.
type Weight struct {
	// Scope is the kind of thing that Name names.
	Scope Scope `yaml:"scope" json:"scope"`
	// Name is the VM or the failure domain.
	Name string `yaml:"name" json:"name"`
	// Percent runs from 0, no new work, to 100.
	Percent int `yaml:"percent" json:"percent"`
}
