//! The page `/metrics`.

use actix_web::HttpResponse;
use actix_web::web::Data;
use cicadagw_endpoint::State;
use cicadagw_meter::{Kind, Meter, Operation, Outcome, Reach, Success};
use cicadagw_ring::Gauge;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{self, AsyncInstrument, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::latency::LatencyCollector;
use crate::problem::Problem;

/// What the name of every metric begins with.
const NAMESPACE: &str = "cicadagw";

/// The unit of sizes.
const BYTES: &str = "By";

/// Reads a meter whenever metrics are asked for.
pub(crate) struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments over `meter`.
    pub(crate) fn new(meter: &Meter) -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        registry.register(Box::new(LatencyCollector::new(meter.clone())?))?;
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Instruments {
            factory: provider.meter(NAMESPACE),
            meter,
        };
        instruments.add_versions();
        instruments.add_messages();
        instruments.add_platform();
        instruments.add_rings();
        instruments.add_endpoints();
        instruments.add_calls();
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics as text.
    fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Shows all metrics as text.
pub(crate) async fn page(metrics: Data<Metrics>) -> Result<HttpResponse, Problem> {
    let text = metrics
        .text()
        .map_err(|error| Problem::Internal(error.to_string()))?;
    Ok(HttpResponse::Ok()
        .content_type(prometheus::TEXT_FORMAT)
        .body(text))
}

/// Something that reads a meter and observes what it shows.
type Observe = fn(&Meter, &dyn AsyncInstrument<u64>);

/// Makes instruments that read a meter.
struct Instruments<'m> {
    factory: metrics::Meter,
    meter: &'m Meter,
}

impl Instruments<'_> {
    fn counter(
        &self,
        name: &'static str,
        unit: &'static str,
        help: &'static str,
        observe: Observe,
    ) {
        let meter = self.meter.clone();
        self.factory
            .u64_observable_counter(name)
            .with_unit(unit)
            .with_description(help)
            .with_callback(move |instrument| observe(&meter, instrument))
            .build();
    }

    fn gauge(&self, name: &'static str, help: &'static str, observe: Observe) {
        let meter = self.meter.clone();
        self.factory
            .u64_observable_gauge(name)
            .with_description(help)
            .with_callback(move |instrument| observe(&meter, instrument))
            .build();
    }

    fn add_versions(&self) {
        self.gauge(
            "version_held",
            "Configuration version held; 0 when there is none yet",
            |meter, instrument| instrument.observe(meter.held().get(), &[]),
        );
        self.gauge(
            "version_highest_seen",
            "Highest configuration version seen",
            |meter, instrument| instrument.observe(meter.seen().get(), &[]),
        );
    }

    fn add_messages(&self) {
        self.counter(
            "control_sent",
            BYTES,
            "Bytes sent to other nodes",
            |meter, instrument| {
                for_messages(|kind, reach, labels| {
                    instrument.observe(meter.sent_bytes(kind, reach).get(), labels);
                });
            },
        );
        self.counter(
            "control_received",
            BYTES,
            "Bytes received from other nodes",
            |meter, instrument| {
                for_messages(|kind, reach, labels| {
                    instrument.observe(meter.received_bytes(kind, reach).get(), labels);
                });
            },
        );
    }

    fn add_platform(&self) {
        self.counter(
            "platform_calls",
            "",
            "Calls to the platform",
            |meter, instrument| {
                for operation in Operation::ALL {
                    for success in Success::ALL {
                        let labels = [
                            KeyValue::new("operation", operation.as_str()),
                            KeyValue::new("outcome", success.as_str()),
                        ];
                        instrument.observe(meter.platform_calls(*operation, *success), &labels);
                    }
                }
            },
        );
    }

    fn add_rings(&self) {
        self.gauge(
            "ring_capacity",
            "Messages that a ring holds at the most",
            |meter, instrument| for_rings(meter, instrument, |ring| ring.capacity() as u64),
        );
        self.gauge(
            "ring_fill",
            "Messages that wait in a ring",
            |meter, instrument| for_rings(meter, instrument, Gauge::fill),
        );
        self.counter(
            "ring_refused",
            "",
            "Messages refused because a ring was full",
            |meter, instrument| for_rings(meter, instrument, Gauge::refused),
        );
    }

    fn add_endpoints(&self) {
        self.gauge(
            "endpoints",
            "Endpoints known, by state",
            |meter, instrument| {
                for (state, name) in [
                    (State::Ready, "ready"),
                    (State::Draining, "draining"),
                    (State::Gone, "gone"),
                ] {
                    let labels = [KeyValue::new("state", name)];
                    instrument.observe(meter.endpoints(state), &labels);
                }
            },
        );
    }

    fn add_calls(&self) {
        self.counter(
            "calls",
            "",
            "Calls that ended, by outcome",
            |meter, instrument| {
                for outcome in Outcome::ALL {
                    let labels = [KeyValue::new("outcome", outcome.as_str())];
                    instrument.observe(meter.calls(*outcome), &labels);
                }
            },
        );
        self.gauge("calls_in_flight", "Calls in flight", |meter, instrument| {
            instrument.observe(meter.in_flight(), &[]);
        });
        self.counter(
            "call_retries",
            "",
            "Attempts after the first",
            |meter, instrument| instrument.observe(meter.retries(), &[]),
        );
    }
}

/// Calls `observe` for each kind and reach of messages.
fn for_messages(mut observe: impl FnMut(Kind, Reach, &[KeyValue])) {
    for kind in Kind::ALL {
        for reach in Reach::ALL {
            let labels = [
                KeyValue::new("kind", kind.as_str()),
                KeyValue::new("reach", reach.as_str()),
            ];
            observe(*kind, *reach, &labels);
        }
    }
}

/// Observes `value` of each ring.
fn for_rings(meter: &Meter, instrument: &dyn AsyncInstrument<u64>, value: fn(&Gauge) -> u64) {
    for ring in meter.rings() {
        instrument.observe(value(&ring), &[KeyValue::new("ring", ring.name())]);
    }
}
