//! Layouts of [`WatchRequest`] and [`WatchReply`].

use railtack_consensus::LogIndex;
use railtack_serving::{ModelWeights, ReplicaRecord, ServingConfiguration, TenantQuota};
use speedy::{Context, Readable, Reader, Writable, Writer};

use super::{
    software::SoftwareGroup,
    trailing::{Trailing, TrailingThen},
};
use crate::{
    level::FeatureLevel,
    permits::LimitedReplica,
    relay::{RelayOffer, RelaySearch},
    serving::{
        ConfigurationPart, ConfigurationPosition, FleetDigest, InvalidationPart, QuarantineUpdate,
        ReplicaCondition, ReplicaObservation, ReplicaPace, ReplicaSpeed, ServingUpdate, TargetAge,
        TransferRequest, WatchPosition, WatchReply, WatchRequest,
    },
    slots::SensitiveService,
};

#[derive(Readable)]
struct WireRequest {
    router: String,
    position: LogIndex,
    wait_ms: u64,
    observations: Vec<ReplicaObservation>,
    #[speedy(default_on_eof)]
    later: Option<LaterRequest>,
    #[speedy(default_on_eof)]
    paces: Vec<ReplicaPace>,
    /// At most one.
    #[speedy(default_on_eof)]
    relay_addresses: Vec<String>,
    /// At most one.
    #[speedy(default_on_eof)]
    configuration: Vec<ConfigurationPosition>,
    /// At most one.
    #[speedy(default_on_eof)]
    transfer: Vec<TransferRequest>,
    /// At most one.
    #[speedy(default_on_eof)]
    relay_searches: Vec<RelaySearch>,
}

#[derive(Readable, Writable)]
struct LaterRequest {
    position: WatchPosition,
    wants_records: bool,
    has_lease: bool,
}

/// Paces, the relay address, the position in the configuration, what else its transfer needs and the search for relays.
type RequestAdditions<'a> = TrailingThen<
    'a,
    ReplicaPace,
    TrailingThen<
        'a,
        String,
        TrailingThen<
            'a,
            ConfigurationPosition,
            TrailingThen<'a, TransferRequest, Trailing<'a, RelaySearch>>,
        >,
    >,
>;

#[derive(Writable)]
struct WrittenRequest<'a> {
    router: &'a str,
    position: LogIndex,
    wait_ms: u64,
    observations: &'a [ReplicaObservation],
    later: Option<LaterRequest>,
    additions: RequestAdditions<'a>,
}

impl<'a> From<&'a WatchRequest> for WrittenRequest<'a> {
    fn from(request: &'a WatchRequest) -> Self {
        Self {
            router: &request.router,
            position: request.position.complete_through(),
            wait_ms: request.wait_ms,
            observations: &request.observations,
            later: request.accepts_partial.then_some(LaterRequest {
                position: request.position,
                wants_records: request.wants_records,
                has_lease: request.has_lease,
            }),
            additions: TrailingThen(
                &request.paces,
                TrailingThen(
                    request.relay_address.as_slice(),
                    TrailingThen(
                        request.configuration.as_slice(),
                        TrailingThen(
                            request.transfer.as_slice(),
                            Trailing(request.relay_search.as_slice()),
                        ),
                    ),
                ),
            ),
        }
    }
}

impl From<WireRequest> for WatchRequest {
    fn from(wire: WireRequest) -> Self {
        let accepts_partial = wire.later.is_some();
        let later = wire.later.unwrap_or(LaterRequest {
            position: WatchPosition::at(wire.position),
            wants_records: true,
            has_lease: true,
        });
        Self {
            router: wire.router,
            position: later.position,
            wait_ms: wire.wait_ms,
            wants_records: later.wants_records,
            has_lease: later.has_lease,
            accepts_partial,
            observations: wire.observations,
            paces: wire.paces,
            relay_address: wire.relay_addresses.into_iter().next(),
            configuration: wire.configuration.into_iter().next(),
            transfer: wire.transfer.into_iter().next(),
            relay_search: wire.relay_searches.into_iter().next(),
        }
    }
}

#[derive(Readable)]
struct WireReply {
    confirmed_age_ms: Option<u64>,
    delayed_ms: u64,
    zone: String,
    members: Vec<String>,
    routers: u32,
    update: Option<WireUpdate>,
    fleet: Option<WireDigest>,
    #[speedy(default_on_eof)]
    later: Option<LaterReply>,
    #[speedy(default_on_eof)]
    speeds: Vec<ReplicaSpeed>,
    #[speedy(default_on_eof)]
    relays: Vec<RelayOffer>,
    /// Versions of the software of the replicas in the update.
    #[speedy(default_on_eof)]
    software: Vec<SoftwareGroup>,
    /// At most one.
    #[speedy(default_on_eof)]
    configuration: Vec<ConfigurationPart>,
    /// At most one.
    #[speedy(default_on_eof)]
    invalidations: Vec<InvalidationPart>,
    #[speedy(default_on_eof)]
    sensitive: Vec<SensitiveService>,
    #[speedy(default_on_eof)]
    target_ages: Vec<TargetAge>,
}

#[derive(Readable)]
struct WireUpdate {
    through: LogIndex,
    configuration: Option<ServingConfiguration>,
    complete: bool,
    replicas: Vec<ReplicaRecord>,
    removed: Vec<String>,
    weights: Vec<ModelWeights>,
}

#[derive(Readable)]
struct WireDigest {
    age_ms: u32,
    replicas: Vec<ReplicaCondition>,
}

#[derive(Readable)]
struct LaterReply {
    group_level: FeatureLevel,
    limited: Vec<LimitedReplica>,
    update: Option<LaterUpdate>,
}

#[derive(Readable)]
struct LaterUpdate {
    position: WatchPosition,
    quarantine: Option<QuarantineUpdate>,
    quotas: Vec<(String, TenantQuota)>,
}

/// Speeds, relays, software versions, a part of the configuration, invalidations, sensitive services and ages of targets.
type ReplyAdditions<'a> = TrailingThen<
    'a,
    ReplicaSpeed,
    TrailingThen<
        'a,
        RelayOffer,
        TrailingThen<
            'a,
            SoftwareGroup,
            TrailingThen<
                'a,
                ConfigurationPart,
                TrailingThen<
                    'a,
                    InvalidationPart,
                    TrailingThen<'a, SensitiveService, Trailing<'a, TargetAge>>,
                >,
            >,
        >,
    >,
>;

#[derive(Writable)]
struct WrittenReply<'a> {
    confirmed_age_ms: Option<u64>,
    delayed_ms: u64,
    zone: &'a str,
    members: &'a [String],
    routers: u32,
    update: Option<WrittenUpdate<'a>>,
    fleet: Option<WrittenDigest<'a>>,
    later: Option<WrittenLater<'a>>,
    additions: ReplyAdditions<'a>,
}

#[derive(Writable)]
struct WrittenUpdate<'a> {
    through: LogIndex,
    configuration: Option<&'a ServingConfiguration>,
    complete: bool,
    replicas: &'a [ReplicaRecord],
    removed: &'a [String],
    weights: &'a [ModelWeights],
}

#[derive(Writable)]
struct WrittenDigest<'a> {
    age_ms: u32,
    replicas: &'a [ReplicaCondition],
}

#[derive(Writable)]
struct WrittenLater<'a> {
    group_level: FeatureLevel,
    limited: &'a [LimitedReplica],
    update: Option<WrittenLaterUpdate<'a>>,
}

#[derive(Writable)]
struct WrittenLaterUpdate<'a> {
    position: WatchPosition,
    quarantine: Option<&'a QuarantineUpdate>,
    quotas: Vec<(String, TenantQuota)>,
}

impl<'a> WrittenReply<'a> {
    fn new(reply: &'a WatchReply, software: &'a [SoftwareGroup]) -> Self {
        let update = reply.update.as_ref();
        let fleet = reply.fleet.as_ref();
        Self {
            confirmed_age_ms: reply.confirmed_age_ms,
            delayed_ms: reply.delayed_ms,
            zone: &reply.zone,
            members: &reply.members,
            routers: reply.routers,
            update: update.map(WrittenUpdate::from),
            fleet: fleet.map(|fleet| WrittenDigest {
                age_ms: fleet.age_ms,
                replicas: &fleet.replicas,
            }),
            later: Some(WrittenLater {
                group_level: reply.group_level,
                limited: fleet.map_or(&[], |fleet| &fleet.limited),
                update: update.map(WrittenLaterUpdate::from),
            }),
            additions: TrailingThen(
                fleet.map_or(&[], |fleet| &fleet.speeds),
                TrailingThen(
                    &reply.relays,
                    TrailingThen(
                        software,
                        TrailingThen(
                            reply.configuration.as_slice(),
                            TrailingThen(
                                reply.invalidations.as_slice(),
                                TrailingThen(
                                    fleet.map_or(&[], |fleet| &fleet.sensitive),
                                    Trailing(&reply.target_ages),
                                ),
                            ),
                        ),
                    ),
                ),
            ),
        }
    }
}

impl<'a> From<&'a ServingUpdate> for WrittenUpdate<'a> {
    fn from(update: &'a ServingUpdate) -> Self {
        Self {
            through: update.position.state,
            configuration: update.configuration.as_ref(),
            complete: update.complete,
            replicas: &update.replicas,
            removed: &update.removed,
            weights: &update.weights,
        }
    }
}

impl<'a> From<&'a ServingUpdate> for WrittenLaterUpdate<'a> {
    fn from(update: &'a ServingUpdate) -> Self {
        let configuration = update.configuration.as_ref();
        Self {
            position: update.position,
            quarantine: update.quarantine.as_ref(),
            quotas: configuration
                .map(ServingConfiguration::quotas)
                .unwrap_or_default(),
        }
    }
}

impl From<WireReply> for WatchReply {
    fn from(wire: WireReply) -> Self {
        let group_level = wire.later.as_ref().map(|later| later.group_level);
        let (limited, later_update) = wire
            .later
            .map_or((Vec::new(), None), |later| (later.limited, later.update));
        Self {
            confirmed_age_ms: wire.confirmed_age_ms,
            delayed_ms: wire.delayed_ms,
            zone: wire.zone,
            members: wire.members,
            routers: wire.routers,
            update: wire
                .update
                .map(|update| update.with(later_update, &wire.software)),
            fleet: wire.fleet.map(|fleet| FleetDigest {
                age_ms: fleet.age_ms,
                replicas: fleet.replicas,
                limited,
                speeds: wire.speeds,
                sensitive: wire.sensitive,
            }),
            group_level: group_level.unwrap_or_default(),
            relays: wire.relays,
            configuration: wire.configuration.into_iter().next(),
            invalidations: wire.invalidations.into_iter().next(),
            target_ages: wire.target_ages,
        }
    }
}

impl WireUpdate {
    fn with(mut self, later: Option<LaterUpdate>, software: &[SoftwareGroup]) -> ServingUpdate {
        let mut records: Vec<&mut ReplicaRecord> = self.replicas.iter_mut().collect();
        SoftwareGroup::assign(software, &mut records);
        let later = later.unwrap_or_else(|| LaterUpdate {
            position: WatchPosition::at(self.through),
            quarantine: None,
            quotas: Vec::new(),
        });
        let mut configuration = self.configuration;
        if let Some(configuration) = &mut configuration {
            configuration.set_quotas(later.quotas);
        }
        ServingUpdate {
            position: later.position,
            configuration,
            complete: self.complete,
            replicas: self.replicas,
            removed: self.removed,
            weights: self.weights,
            quarantine: later.quarantine,
        }
    }
}

impl<C: Context> Writable<C> for WatchRequest {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        WrittenRequest::from(self).write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for WatchRequest {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        WireRequest::read_from(reader).map(Self::from)
    }
}

impl<C: Context> Writable<C> for WatchReply {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        let update = self.update.as_ref();
        let records = update.map_or(&[][..], |update| &update.replicas);
        let software = SoftwareGroup::of_records(records.iter());
        WrittenReply::new(self, &software).write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for WatchReply {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        WireReply::read_from(reader).map(Self::from)
    }
}
