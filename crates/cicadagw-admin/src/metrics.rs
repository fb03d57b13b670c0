//! The page `/metrics`, in the text format of Prometheus.

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_endpoint::State;
use cicadagw_link::traffic::{Count, Direction, Kind, Reach};
use cicadagw_meter::{Operation, PlatformOutcome};
use cicadagw_ring::Gauge;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{self, AsyncInstrument, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::latency::LatencyCollector;
use crate::problem::Problem;
use crate::sources::Sources;

/// The prefix of the name of every metric.
const NAMESPACE: &str = "cicadagw";

/// The OpenTelemetry unit of sizes in bytes.
const BYTES: &str = "By";

/// The metrics, which read the counters of the duties on every request.
pub(crate) struct Metrics {
    registry: Registry,
    /// Owns the instruments, which live as long as it does.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers the instruments that observe `sources`.
    pub(crate) fn new(sources: &Sources) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        registry.register(Box::new(LatencyCollector::new(sources.calls.clone())?))?;
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Instruments {
            meter: provider.meter(NAMESPACE),
            sources,
        };
        instruments.add_versions();
        instruments.add_traffic();
        instruments.add_platform();
        instruments.add_platform_restores();
        instruments.add_log();
        instruments.add_rings();
        instruments.add_endpoints();
        instruments.add_rollouts();
        instruments.add_calls();
        instruments.add_quotas();
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Reads all metrics and encodes them as text.
    fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Serves all metrics.
pub(crate) async fn page(metrics: Data<Metrics>) -> Result<HttpResponse, Problem> {
    let text = metrics
        .text()
        .map_err(|error| Problem::Internal(error.to_string()))?;
    Ok(HttpResponse::Ok()
        .content_type(prometheus::TEXT_FORMAT)
        .body(text))
}

/// A callback that reads counters and reports them to an instrument.
type Observe = fn(&Sources, &dyn AsyncInstrument<u64>);

/// Registers the observable instruments that read the counters of the duties.
struct Instruments<'s> {
    meter: metrics::Meter,
    sources: &'s Sources,
}

impl Instruments<'_> {
    /// Adds a counter that `observe` reads.
    fn counter(
        &self,
        name: &'static str,
        unit: &'static str,
        description: &'static str,
        observe: Observe,
    ) {
        let sources = self.sources.clone();
        self.meter
            .u64_observable_counter(name)
            .with_unit(unit)
            .with_description(description)
            .with_callback(move |instrument| observe(&sources, instrument))
            .build();
    }

    /// Adds a gauge that `observe` reads.
    fn gauge(&self, name: &'static str, description: &'static str, observe: Observe) {
        let sources = self.sources.clone();
        self.meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |instrument| observe(&sources, instrument))
            .build();
    }

    fn add_versions(&self) {
        self.gauge(
            "version_held",
            "Configuration version in use on this node; 0 before the first one",
            |sources, instrument| instrument.observe(sources.meter.version_held().get(), &[]),
        );
        self.gauge(
            "version_highest_seen",
            "Highest configuration version known to exist, whether or not this node has it",
            |sources, instrument| instrument.observe(sources.meter.highest_seen().get(), &[]),
        );
    }

    fn add_traffic(&self) {
        self.counter(
            "control_sent",
            BYTES,
            "Payload bytes of control messages sent to other nodes",
            |sources, instrument| {
                observe_traffic(sources, instrument, Direction::Sent, |count| {
                    count.bytes.get()
                });
            },
        );
        self.counter(
            "control_received",
            BYTES,
            "Payload bytes of control messages received from other nodes",
            |sources, instrument| {
                observe_traffic(sources, instrument, Direction::Received, |count| {
                    count.bytes.get()
                });
            },
        );
        self.counter(
            "control_sent_messages",
            "",
            "Control messages sent to other nodes",
            |sources, instrument| {
                observe_traffic(sources, instrument, Direction::Sent, |count| count.messages);
            },
        );
        self.counter(
            "control_received_messages",
            "",
            "Control messages received from other nodes",
            |sources, instrument| {
                observe_traffic(sources, instrument, Direction::Received, |count| {
                    count.messages
                });
            },
        );
    }

    fn add_platform(&self) {
        self.gauge(
            "configuration_confirmed_age_milliseconds",
            "Time since the platform last confirmed the configuration to this node or to a watcher of its region",
            |sources, instrument| {
                instrument.observe(sources.meter.confirmed_age().get(), &[]);
            },
        );
        self.counter(
            "platform_calls",
            "",
            "Calls to the platform",
            |sources, instrument| {
                for operation in Operation::ALL {
                    for outcome in PlatformOutcome::ALL {
                        let labels = [
                            KeyValue::new("operation", operation.as_str()),
                            KeyValue::new("outcome", outcome.as_str()),
                        ];
                        instrument
                            .observe(sources.meter.platform_calls(*operation, *outcome), &labels);
                    }
                }
            },
        );
    }

    fn add_log(&self) {
        self.counter(
            "log_lines_dropped",
            "",
            "Log lines that were dropped since the standard output did not take them in time",
            |sources, instrument| instrument.observe((sources.dropped_lines)(), &[]),
        );
    }

    fn add_platform_restores(&self) {
        self.counter(
            "platform_restores",
            "",
            "Restores of the platform's store from a copy that this node has noticed",
            |sources, instrument| {
                instrument.observe(sources.meter.platform_restores(), &[]);
            },
        );
    }

    fn add_rings(&self) {
        self.gauge(
            "ring_capacity",
            "Capacity of a ring, in messages",
            |sources, instrument| observe_rings(sources, instrument, |ring| ring.capacity() as u64),
        );
        self.gauge(
            "ring_fill",
            "Messages queued in a ring",
            |sources, instrument| observe_rings(sources, instrument, Gauge::fill),
        );
        self.counter(
            "ring_refused",
            "",
            "Messages refused because a ring was full",
            |sources, instrument| observe_rings(sources, instrument, Gauge::refused),
        );
    }

    fn add_endpoints(&self) {
        self.gauge(
            "endpoints",
            "Endpoints known, by state",
            |sources, instrument| {
                for (state, name) in [
                    (State::Ready, "ready"),
                    (State::Draining, "draining"),
                    (State::Gone, "gone"),
                ] {
                    let labels = [KeyValue::new("state", name)];
                    instrument.observe(sources.meter.endpoints(state), &labels);
                }
            },
        );
    }

    fn add_rollouts(&self) {
        self.gauge(
            "rollouts",
            "Ordered rollouts known, by state",
            |sources, instrument| {
                let states = ["running", "done", "rolled-back"];
                for (state, number) in states.into_iter().zip(sources.meter.rollouts()) {
                    instrument.observe(number, &[KeyValue::new("state", state)]);
                }
            },
        );
        self.gauge(
            "rollouts_led",
            "Rollouts that this node leads",
            |sources, instrument| instrument.observe(sources.meter.rollouts_led(), &[]),
        );
    }

    fn add_quotas(&self) {
        self.counter(
            "calls_over_quota",
            "",
            "Calls refused because of the quota of their client account, by reason",
            |sources, instrument| {
                let counts = sources.calls.counts();
                for (number, reason) in [
                    (counts.over_quota, "over-quota"),
                    (counts.quota_unknown, "quota-unknown"),
                ] {
                    instrument.observe(number, &[KeyValue::new("reason", reason)]);
                }
            },
        );
        self.counter(
            "quota_tokens",
            "",
            "Tokens of quotas that owners have granted to this node, or that calls have given back",
            |sources, instrument| {
                let quotas = sources.calls.counts().quotas;
                for (number, event) in [(quotas.granted, "granted"), (quotas.returned, "returned")]
                {
                    instrument.observe(number, &[KeyValue::new("event", event)]);
                }
            },
        );
        self.gauge(
            "quota_accounts",
            "Client accounts with quotas that make calls at this node, by state",
            |sources, instrument| {
                let quotas = sources.calls.counts().quotas;
                for (number, state) in [
                    (quotas.open, "open"),
                    (quotas.short, "short"),
                    (quotas.silent, "silent"),
                ] {
                    instrument.observe(number, &[KeyValue::new("state", state)]);
                }
            },
        );
        self.gauge(
            "quotas_owned",
            "Client accounts of whose quotas this node owns a part that is in use",
            |sources, instrument| instrument.observe(sources.meter.quotas_owned(), &[]),
        );
    }

    fn add_calls(&self) {
        self.counter(
            "calls",
            "",
            "Calls that ended, by outcome",
            |sources, instrument| {
                let counts = sources.calls.counts();
                for (number, outcome) in [
                    (counts.answered, "answered"),
                    (counts.not_run, "not-run"),
                    (counts.unknown, "unknown"),
                ] {
                    instrument.observe(number, &[KeyValue::new("outcome", outcome)]);
                }
            },
        );
        self.counter(
            "calls_refused",
            "",
            "Calls of local callers that were not run, by reason",
            |sources, instrument| {
                for (reason, number) in sources.calls.refused() {
                    instrument.observe(number, &[KeyValue::new("reason", reason.to_string())]);
                }
            },
        );
        self.counter(
            "calls_shed",
            "",
            "Calls refused by admission control because the local backend server had no free slot",
            |sources, instrument| instrument.observe(sources.calls.counts().shed, &[]),
        );
        self.counter(
            "calls_shed_by_priority",
            "",
            "Calls refused by admission control, by priority; 3 includes all less urgent ones",
            |sources, instrument| {
                let counts = sources.calls.counts().shed_by_priority;
                for (count, priority) in counts.into_iter().zip(0_i64..) {
                    instrument.observe(count, &[KeyValue::new("priority", priority)]);
                }
            },
        );
        self.counter(
            "calls_limited",
            "",
            "Calls refused because of the rate limit that the local backend server names",
            |sources, instrument| instrument.observe(sources.calls.counts().limited, &[]),
        );
        self.gauge(
            "limited_endpoints",
            "Known endpoints whose backend servers name a rate limit",
            |sources, instrument| {
                instrument.observe(sources.calls.counts().limited_endpoints, &[]);
            },
        );
        self.counter(
            "departures",
            "",
            "Departures of local backend servers, by whether they were acknowledged",
            |sources, instrument| {
                let counts = sources.calls.counts();
                let outcomes = [
                    (counts.departures_acknowledged, "acknowledged"),
                    (counts.departures_withheld, "withheld"),
                ];
                for (count, outcome) in outcomes {
                    instrument.observe(count, &[KeyValue::new("outcome", outcome)]);
                }
            },
        );
        self.counter(
            "connections_closed",
            "",
            "Connections of clients closed or refused to make room for others",
            |sources, instrument| {
                instrument.observe(sources.calls.counts().connections_closed, &[]);
            },
        );
        self.gauge(
            "held_bytes",
            "Memory that connections and calls of clients hold",
            |sources, instrument| instrument.observe(sources.calls.counts().held_bytes, &[]),
        );
        self.gauge(
            "calls_in_flight",
            "Calls in flight",
            |sources, instrument| instrument.observe(sources.calls.counts().in_flight, &[]),
        );
        self.counter(
            "call_retries",
            "",
            "Retries of calls, counted per attempt after the first",
            |sources, instrument| instrument.observe(sources.calls.counts().retries, &[]),
        );
    }
}

/// Reports `value` of the traffic in `direction` for every reach and kind.
fn observe_traffic(
    sources: &Sources,
    instrument: &dyn AsyncInstrument<u64>,
    direction: Direction,
    value: fn(&Count) -> u64,
) {
    for reach in Reach::ALL {
        for kind in Kind::ALL {
            let count = sources.links.count(direction, reach, kind);
            let labels = [
                KeyValue::new("kind", kind.as_str()),
                KeyValue::new("reach", reach.as_str()),
            ];
            instrument.observe(value(&count), &labels);
        }
    }
}

/// Reports `value` of every ring.
fn observe_rings(
    sources: &Sources,
    instrument: &dyn AsyncInstrument<u64>,
    value: fn(&Gauge) -> u64,
) {
    for ring in sources.meter.rings() {
        instrument.observe(value(&ring), &[KeyValue::new("ring", ring.name())]);
    }
}
