//! Segmented write-ahead log.

use error_stack::{Report, ResultExt};

use crate::{
    errors::StorageError,
    media::{Media, SegmentFile},
    record,
};

const SEGMENT_PREFIX: &str = "wal-";

/// Options of the log.
#[derive(Clone, Copy, Debug)]
pub struct WalOptions {
    /// Size of a segment from which on a new one is started, bytes. Default: 8 MiB.
    pub segment_bytes: usize,
}

impl Default for WalOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
        }
    }
}

/// An append-only log of records in segment files.
pub struct WriteAheadLog {
    media: Box<dyn Media>,
    options: WalOptions,
    segment: Box<dyn SegmentFile>,
    segment_number: u64,
    segment_size: usize,
    pending: Vec<u8>,
    poisoned: bool,
}

impl WriteAheadLog {
    /// Opens the log and returns the recovered records, oldest first.
    ///
    /// Starts a new segment, so that a torn tail is never appended to.
    pub fn open(
        media: Box<dyn Media>,
        options: WalOptions,
    ) -> Result<(Self, Vec<Vec<u8>>), Report<StorageError>> {
        let names = segment_names(media.as_ref())?;
        let mut records = Vec::new();
        let mut previous = None;
        for name in &names {
            // Records that a killed process wrote but did not sync are recovered here and must be
            // durable from now on.
            media
                .sync_file(name)
                .change_context(io_error("sync", name))?;
            let bytes = media.read(name).change_context(io_error("read", name))?;
            let segment = read_segment(name, &bytes)?;
            check_predecessor(previous.as_ref(), &segment)?;
            records.extend(segment.records.iter().cloned());
            previous = Some(segment);
        }
        let header = previous.as_ref().map(SegmentContent::successor_header);
        let segment_number = previous.map_or(1, |segment| segment.number + 1);
        let segment = create_segment(media.as_ref(), segment_number)?;
        let mut pending = Vec::new();
        if let Some(header) = header {
            record::append_to_batch(&header.encode(), &mut pending);
        }
        let log = Self {
            media,
            options,
            segment,
            segment_number,
            segment_size: 0,
            pending,
            poisoned: false,
        };
        Ok((log, records))
    }

    /// Appends a record, which is durable only after [`WriteAheadLog::sync`].
    pub fn append(&mut self, payload: &[u8]) -> Result<(), Report<StorageError>> {
        self.ensure_not_poisoned()?;
        if payload.len() > record::MAX_PAYLOAD_BYTES {
            return Err(Report::new(StorageError::RecordTooLarge {
                size: payload.len(),
                limit: record::MAX_PAYLOAD_BYTES,
            }));
        }
        record::append_to_batch(payload, &mut self.pending);
        Ok(())
    }

    /// Makes all appended records durable with one sync.
    pub fn sync(&mut self) -> Result<(), Report<StorageError>> {
        self.ensure_not_poisoned()?;
        let result = self.write_pending();
        self.poisoned = result.is_err();
        result
    }

    /// Replaces the content of the log by `records`: starts a segment with them and deletes the older
    /// segments.
    ///
    /// The new segment is durable before anything is deleted. A crash in between leaves both, and
    /// replaying both gives the same state.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Report<StorageError>> {
        self.ensure_not_poisoned()?;
        let result = self.replace_segments(records);
        self.poisoned = result.is_err();
        result
    }

    /// Size of the current segment, bytes.
    pub fn segment_size(&self) -> usize {
        self.segment_size
    }

    fn write_pending(&mut self) -> Result<(), Report<StorageError>> {
        let name = segment_name(self.segment_number);
        let mut framed = Vec::with_capacity(self.pending.len() + record::HEADER_BYTES);
        record::encode(&self.pending, &mut framed);
        self.segment
            .append(&framed)
            .change_context(io_error("append", &name))?;
        self.segment
            .sync()
            .change_context(io_error("sync", &name))?;
        self.segment_size += framed.len();
        self.pending.clear();
        self.rotate_if_full()
    }

    fn rotate_if_full(&mut self) -> Result<(), Report<StorageError>> {
        if self.segment_size >= self.options.segment_bytes {
            self.start_segment()?;
        }
        Ok(())
    }

    fn replace_segments(&mut self, records: &[Vec<u8>]) -> Result<(), Report<StorageError>> {
        let old_names = segment_names(self.media.as_ref())?;
        self.pending.clear();
        self.start_segment()?;
        for payload in records {
            record::append_to_batch(payload, &mut self.pending);
        }
        self.write_pending()?;
        for name in old_names {
            self.media
                .remove(&name)
                .change_context(io_error("remove", &name))?;
        }
        self.media
            .sync_folder()
            .change_context(io_error("sync", "folder"))
    }

    fn start_segment(&mut self) -> Result<(), Report<StorageError>> {
        let header = SegmentHeader {
            previous_number: self.segment_number,
            previous_size: self.segment_size as u64,
        };
        self.segment_number += 1;
        self.segment = create_segment(self.media.as_ref(), self.segment_number)?;
        self.segment_size = 0;
        record::append_to_batch(&header.encode(), &mut self.pending);
        Ok(())
    }

    fn ensure_not_poisoned(&self) -> Result<(), Report<StorageError>> {
        if self.poisoned {
            return Err(Report::new(StorageError::Poisoned));
        }
        Ok(())
    }
}

/// First record of a segment; holds the size that the previous segment had when it was closed.
///
/// Distinguishes a torn tail, which was never acknowledged, from an acknowledged record that was
/// corrupted later.
struct SegmentHeader {
    previous_number: u64,
    previous_size: u64,
}

const HEADER_TAG: &[u8] = b"segment-header:";

impl SegmentHeader {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = HEADER_TAG.to_vec();
        bytes.extend_from_slice(&self.previous_number.to_le_bytes());
        bytes.extend_from_slice(&self.previous_size.to_le_bytes());
        bytes
    }

    fn decode(payload: &[u8]) -> Option<Self> {
        let fields = payload.strip_prefix(HEADER_TAG)?;
        let previous_number = u64::from_le_bytes(fields.get(..8)?.try_into().ok()?);
        let previous_size = u64::from_le_bytes(fields.get(8..16)?.try_into().ok()?);
        Some(Self {
            previous_number,
            previous_size,
        })
    }
}

/// The valid records of one segment.
struct SegmentContent {
    name: String,
    number: u64,
    header: Option<SegmentHeader>,
    records: Vec<Vec<u8>>,
    /// Size of the valid records including the header, bytes.
    valid_size: u64,
}

impl SegmentContent {
    fn successor_header(&self) -> SegmentHeader {
        SegmentHeader {
            previous_number: self.number,
            previous_size: self.valid_size,
        }
    }
}

fn read_segment(name: &str, bytes: &[u8]) -> Result<SegmentContent, Report<StorageError>> {
    let mut content = SegmentContent {
        name: name.to_owned(),
        number: segment_number(name),
        header: None,
        records: Vec::new(),
        valid_size: 0,
    };
    if bytes.starts_with(&record::V1_MAGIC) {
        return Err(Report::new(StorageError::UnsupportedFormat {
            file: name.to_owned(),
        }));
    }
    let mut offset = 0;
    while let Some(batch) = record::decode(&bytes[offset..]) {
        for (position, payload) in record::decode_batch(batch).into_iter().enumerate() {
            match SegmentHeader::decode(payload) {
                Some(header) if offset == 0 && position == 0 => content.header = Some(header),
                _ => content.records.push(payload.to_vec()),
            }
        }
        offset += record::HEADER_BYTES + batch.len();
    }
    if record::valid_record_follows(&bytes[offset..]) {
        return Err(corrupt_record(name, offset as u64));
    }
    content.valid_size = offset as u64;
    Ok(content)
}

fn check_predecessor(
    previous: Option<&SegmentContent>,
    segment: &SegmentContent,
) -> Result<(), Report<StorageError>> {
    let (Some(previous), Some(header)) = (previous, &segment.header) else {
        return Ok(());
    };
    let is_predecessor = header.previous_number == previous.number;
    if is_predecessor && previous.valid_size < header.previous_size {
        return Err(corrupt_record(&previous.name, previous.valid_size));
    }
    Ok(())
}

fn corrupt_record(file: &str, offset: u64) -> Report<StorageError> {
    Report::new(StorageError::CorruptRecord {
        file: file.to_owned(),
        offset,
    })
}

fn create_segment(
    media: &dyn Media,
    number: u64,
) -> Result<Box<dyn SegmentFile>, Report<StorageError>> {
    let name = segment_name(number);
    let segment = media
        .create(&name)
        .change_context(io_error("create", &name))?;
    media
        .sync_folder()
        .change_context(io_error("sync", "folder"))?;
    Ok(segment)
}

fn segment_names(media: &dyn Media) -> Result<Vec<String>, Report<StorageError>> {
    let names = media.list().change_context(io_error("list", "folder"))?;
    Ok(names
        .into_iter()
        .filter(|name| name.starts_with(SEGMENT_PREFIX))
        .collect())
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn segment_number(name: &str) -> u64 {
    name.trim_start_matches(SEGMENT_PREFIX).parse().unwrap_or(0)
}

fn io_error(operation: &'static str, file: &str) -> StorageError {
    StorageError::Io {
        operation,
        file: file.to_owned(),
    }
}
