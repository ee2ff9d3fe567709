//! Layouts of the messages that carry the load of back ends and the urgency of requests.

use speedy::{Context, Readable, Reader, Writable, Writer};

use super::trailing::{Trailing, TrailingLists, TrailingThen};
use crate::{
    permits::LimitedReplica,
    relay::RelayOffer,
    serving::{
        FleetDigest, LivenessReply, LivenessReport, QuotaRequest, QuotaSubject, QuotaUrgency,
        ReplicaCondition, ReplicaHeartbeat, ReplicaObservation, ReplicaPace, ReplicaSpeed,
    },
    slots::SensitiveService,
};

#[derive(Readable)]
struct WireQuotaRequest {
    subject: QuotaSubject,
    declared_tokens: Option<u64>,
    max_wait_ms: u32,
    #[speedy(default_on_eof)]
    urgency: Vec<QuotaUrgency>,
}

#[derive(Writable)]
struct WrittenQuotaRequest<'a> {
    subject: &'a QuotaSubject,
    declared_tokens: Option<u64>,
    max_wait_ms: u32,
    urgency: Trailing<'a, QuotaUrgency>,
}

impl<C: Context> Writable<C> for QuotaRequest {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        let written = WrittenQuotaRequest {
            subject: &self.subject,
            declared_tokens: self.declared_tokens,
            max_wait_ms: self.max_wait_ms,
            urgency: Trailing(self.urgency.as_slice()),
        };
        written.write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for QuotaRequest {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let wire = WireQuotaRequest::read_from(reader)?;
        Ok(Self {
            subject: wire.subject,
            declared_tokens: wire.declared_tokens,
            max_wait_ms: wire.max_wait_ms,
            urgency: wire.urgency.first().copied(),
        })
    }
}

#[derive(Readable)]
struct WireDigest {
    age_ms: u32,
    replicas: Vec<ReplicaCondition>,
    #[speedy(default_on_eof)]
    limited: Vec<LimitedReplica>,
    #[speedy(default_on_eof)]
    speeds: Vec<ReplicaSpeed>,
}

#[derive(Writable)]
struct WrittenDigest<'a> {
    age_ms: u32,
    replicas: &'a [ReplicaCondition],
    limited: &'a [LimitedReplica],
    speeds: Trailing<'a, ReplicaSpeed>,
}

impl<C: Context> Writable<C> for FleetDigest {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        let written = WrittenDigest {
            age_ms: self.age_ms,
            replicas: &self.replicas,
            limited: &self.limited,
            speeds: Trailing(&self.speeds),
        };
        written.write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for FleetDigest {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        WireDigest::read_from(reader).map(Self::from)
    }
}

impl From<WireDigest> for FleetDigest {
    fn from(wire: WireDigest) -> Self {
        Self {
            age_ms: wire.age_ms,
            replicas: wire.replicas,
            limited: wire.limited,
            speeds: wire.speeds,
            sensitive: Vec::new(),
        }
    }
}

#[derive(Readable)]
struct WireReport {
    identities: Vec<String>,
    routers: Vec<String>,
    sender: String,
    observations: Vec<ReplicaObservation>,
    #[speedy(default_on_eof)]
    replicas: Vec<ReplicaHeartbeat>,
    #[speedy(default_on_eof)]
    paces: Vec<ReplicaPace>,
    #[speedy(default_on_eof)]
    relays: Vec<RelayOffer>,
}

#[derive(Writable)]
struct WrittenReport<'a> {
    identities: &'a [String],
    routers: &'a [String],
    sender: &'a str,
    observations: &'a [ReplicaObservation],
    replicas: &'a [ReplicaHeartbeat],
    paces_and_relays: TrailingThen<'a, ReplicaPace, Trailing<'a, RelayOffer>>,
}

impl<C: Context> Writable<C> for LivenessReport {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        let written = WrittenReport {
            identities: &self.identities,
            routers: &self.routers,
            sender: &self.sender,
            observations: &self.observations,
            replicas: &self.replicas,
            paces_and_relays: TrailingThen(&self.paces, Trailing(&self.relays)),
        };
        written.write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for LivenessReport {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let wire = WireReport::read_from(reader)?;
        Ok(Self {
            identities: wire.identities,
            routers: wire.routers,
            sender: wire.sender,
            observations: wire.observations,
            replicas: wire.replicas,
            paces: wire.paces,
            relays: wire.relays,
        })
    }
}

#[derive(Readable)]
struct WireReply {
    routers: u32,
    fleet: Option<WireDigest>,
    #[speedy(default_on_eof)]
    relays: Vec<RelayOffer>,
    #[speedy(default_on_eof)]
    sensitive: Vec<SensitiveService>,
}

/// A digest with its speeds, which are present even if there are none because something follows.
#[derive(Writable)]
struct FollowedDigest<'a> {
    age_ms: u32,
    replicas: &'a [ReplicaCondition],
    limited: &'a [LimitedReplica],
    speeds: &'a [ReplicaSpeed],
}

impl<C: Context> Writable<C> for LivenessReply {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.routers.write_to(writer)?;
        let sensitive = self
            .fleet
            .as_ref()
            .map_or(&[][..], |fleet| &fleet.sensitive);
        let followers = TrailingThen(&self.relays, Trailing(sensitive));
        if followers.is_empty() {
            return self.fleet.write_to(writer);
        }
        let fleet = self.fleet.as_ref().map(|fleet| FollowedDigest {
            age_ms: fleet.age_ms,
            replicas: &fleet.replicas,
            limited: &fleet.limited,
            speeds: &fleet.speeds,
        });
        fleet.write_to(writer)?;
        followers.write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for LivenessReply {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let wire = WireReply::read_from(reader)?;
        Ok(Self {
            routers: wire.routers,
            fleet: wire.fleet.map(|fleet| FleetDigest {
                sensitive: wire.sensitive,
                ..FleetDigest::from(fleet)
            }),
            relays: wire.relays,
        })
    }
}
